// Package fair accounts the service of client accounts and says which of
// them is next.
//
// Service is cost divided by share. The book charges an estimate when a
// request is dispatched and corrects it when the cost is known. An account
// that becomes backlogged is lifted to the lowest service among the
// backlogged ones, so idle time earns no credit.
package fair

// Cost is an amount of work in cost units: a token for model requests, one
// call for orders and plain services.
type Cost float64

// Book keeps the virtual service of each client account.
// The zero value is not usable; call NewBook.
type Book struct {
	accounts map[string]*entry
}

type entry struct {
	share   float64
	service float64 // cost over share, with lifts
	charged Cost    // cost charged here, without lifts
	remote  Cost    // cost charged elsewhere
	waiting int     // queued requests
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{accounts: map[string]*entry{}}
}

// SetShare declares an account's share; share must be over 0.
func (b *Book) SetShare(account string, share float64) {
	b.entry(account).share = share
}

// Enqueue notes one more waiting request of the account.
func (b *Book) Enqueue(account string) {
	e := b.entry(account)
	if e.waiting == 0 {
		e.service = max(e.service, b.floor(account))
	}
	e.waiting++
}

// Dequeue notes one waiting request less.
func (b *Book) Dequeue(account string) {
	b.entry(account).waiting--
}

// Charge adds cost, which may be negative for a correction.
func (b *Book) Charge(account string, cost Cost) {
	e := b.entry(account)
	e.service += float64(cost) / e.share
	e.charged += cost
}

// SetRemote sets the cost charged to the account elsewhere in the fleet.
func (b *Book) SetRemote(account string, total Cost) {
	e := b.entry(account)
	e.service += float64(total-e.remote) / e.share
	e.remote = total
}

// Service returns the account's virtual service, in cost units per share.
func (b *Book) Service(account string) float64 { return b.entry(account).service }

// Charged returns the account's cost so far by this book, in cost units.
func (b *Book) Charged(account string) Cost { return b.entry(account).charged }

// Next returns the backlogged account of least service for which may holds;
// ties go to the lower name.
func (b *Book) Next(may func(account string) bool) (string, bool) {
	best, found := "", false
	for name, e := range b.accounts {
		if e.waiting == 0 || !may(name) {
			continue
		}
		if !found || b.before(name, best) {
			best, found = name, true
		}
	}
	return best, found
}

func (b *Book) before(x, y string) bool {
	sx, sy := b.accounts[x].service, b.accounts[y].service
	if sx != sy {
		return sx < sy
	}
	return x < y
}

// floor is the lowest service among the other backlogged accounts, or 0.
func (b *Book) floor(account string) float64 {
	low, found := 0.0, false
	for name, e := range b.accounts {
		if name == account || e.waiting == 0 {
			continue
		}
		if !found || e.service < low {
			low, found = e.service, true
		}
	}
	return low
}

func (b *Book) entry(account string) *entry {
	e, ok := b.accounts[account]
	if !ok {
		e = &entry{share: 1}
		b.accounts[account] = e
	}
	return e
}
