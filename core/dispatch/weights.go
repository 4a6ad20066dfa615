package dispatch

import "slices"

// maxKnownModels limits the models whose versions are kept for one endpoint. Clients
// choose the names.
const maxKnownModels = 64

// Weights is a version of the weights of a model. An empty version is none in
// particular.
type Weights struct{ Model, Version string }

// knownWeights is what an endpoint has said about its weights, in its record and in
// responses.
type knownWeights struct {
	versions map[string]string // by model
	missing  Weights           // that it has last said not to have
}

// set records the version of a model.
func (k *knownWeights) set(w Weights) {
	if _, ok := k.versions[w.Model]; !ok && len(k.versions) >= maxKnownModels {
		return
	}
	if k.versions == nil {
		k.versions = map[string]string{}
	}
	k.versions[w.Model] = w.Version
}

// setMissing records that the endpoint does not have the weights.
func (k *knownWeights) setMissing(w Weights) {
	if k.versions[w.Model] == w.Version {
		delete(k.versions, w.Model)
	}
	k.missing = w
}

// has reports whether the endpoint has the weights, and whether that is known.
func (k *knownWeights) has(w Weights) (has, known bool) {
	if version, ok := k.versions[w.Model]; ok {
		return version == w.Version, true
	}
	return false, k.missing == w
}

// setWeights applies the versions that an endpoint's record states. A request that
// names no model means the only one.
func (ep *endpointState) setWeights() {
	for _, m := range ep.Models {
		ep.weights.set(Weights{Model: m.Name, Version: m.Version})
	}
	if len(ep.Models) == 1 {
		ep.weights.set(Weights{Version: ep.Models[0].Version})
	}
}

// RecordWeights records the version of the request's model that the endpoint of a
// ticket stated in a response.
func (d *Dispatcher) RecordWeights(t *Ticket, version string) {
	if ep := d.endpoints[t.Endpoint.ID]; ep != nil && ep == t.endpoint {
		ep.weights.set(Weights{Model: t.Request.Weights.Model, Version: version})
	}
}

// requireKnownWeights restricts a request that names a version to the endpoints that
// are known to have it, if there are any or if an endpoint has said not to have it.
func (d *Dispatcher) requireKnownWeights(r *Request) {
	if r.Weights.Version == "" {
		return
	}
	r.onlyKnownWeights = true
	r.onlyKnownWeights = r.WeightsMissed || d.anyEligible(r)
}

func (d *Dispatcher) anyEligible(r *Request) bool {
	return slices.ContainsFunc(d.sortedEndpoints, func(ep *endpointState) bool { return d.eligible(ep, r) })
}

// mayHaveWeights reports whether the endpoint may have the weights that a request
// names.
func (ep *endpointState) mayHaveWeights(r *Request) bool {
	if r.Weights.Version == "" {
		return true
	}
	has, known := ep.weights.has(r.Weights)
	return has || !known && !r.onlyKnownWeights
}
