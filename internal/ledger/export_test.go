package ledger

// Digest is the digest of an order in its record.
var Digest = digest
