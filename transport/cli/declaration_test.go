package cli

const (
	declarationFile   = `{"operator":"haneul"}`
	declarationDigest = "fb28a554a13a849228ed12231df17862c215eadd7d79d7b12e1920a847c63097"
)
