package prefixindex

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// A prompt given as text is cut into small blocks at its beginning and larger ones after them: short prompts can be told apart by small
// differences, and very long prompts do not fill the index. Sizes are in bytes.
const (
	// FineSize is the size of each of the first blocks, CoarseSize that of those after them.
	FineSize   = 256
	CoarseSize = 2048
	fineBlocks = 64
	// MaxBlocks is the maximum number of blocks of a prompt, about 2 MB; the rest of a longer prompt is ignored.
	MaxBlocks = 1024
	// keyBytes is how many bytes of the hash form a block's key.
	keyBytes = 12
)

// Covered returns how many bytes of a prompt its first blocks cover.
func Covered(blocks int) int {
	return min(blocks, fineBlocks)*FineSize + max(0, blocks-fineBlocks)*CoarseSize
}

// Domain returns the cache domain of a request, from the cache scope of its tenant and the weights that it runs on: prompts of different
// domains share no blocks.
func Domain(scope, weights string) string { return scope + "@" + weights }

// Text joins the parts of a prompt in order.
func Text(parts ...string) string { return strings.Join(parts, "\n") }

// Blocks returns the keys of a prompt's complete blocks. Each key is a hash of the domain and the prompt up to the end of the block.
func Blocks(domain, text string) []string {
	var chain []string
	sum := sha256.Sum256([]byte(domain))
	for i := 0; i < MaxBlocks && Covered(i+1) <= len(text); i++ {
		h := sha256.New()
		h.Write(sum[:])
		h.Write([]byte(text[Covered(i):Covered(i+1)]))
		h.Sum(sum[:0])
		chain = append(chain, hex.EncodeToString(sum[:keyBytes]))
	}
	return chain
}

// TextBlocks returns the blocks of a prompt given as text.
func TextBlocks(domain, text string) []Block {
	keys := Blocks(domain, text)
	blocks := make([]Block, len(keys))
	for i, key := range keys {
		blocks[i] = Block{Key: key, Size: Covered(i+1) - Covered(i)}
	}
	return blocks
}
