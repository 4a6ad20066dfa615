package ledger

// Digest returns the digest of an order as stored in its record.
var Digest = digest
