package prefixindex

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// A prompt that is known as text is cut into fine blocks first and coarse ones after them: short prompts are told apart by little, and very
// long ones need not fill the index. Sizes are in bytes.
const (
	// FineSize is the size of each of the first blocks, CoarseSize that of those after them.
	FineSize   = 256
	CoarseSize = 2048
	fineBlocks = 64
	// MaxBlocks is how many blocks a prompt has at most, about 2 MB; what comes after is not looked at.
	MaxBlocks = 1024
	// keyBytes is how much of a hash names a block.
	keyBytes = 12
)

// Covered is how many bytes of a prompt so many blocks stand for.
func Covered(blocks int) int {
	return min(blocks, fineBlocks)*FineSize + max(0, blocks-fineBlocks)*CoarseSize
}

// Domain is the cache domain of a request: prompts of different domains share no block. An isolated tenant has domains of its own, for each
// incarnation of its name.
func Domain(tenant string, tenantVersion uint64, isolated bool, weights string) string {
	if isolated {
		return "tenant:" + tenant + "." + strconv.FormatUint(tenantVersion, 10) + "@" + weights
	}
	return "common@" + weights
}

// Text joins the texts that a prompt is made of, in order.
func Text(parts ...string) string { return strings.Join(parts, "\n") }

// Blocks gives the keys of a prompt's complete blocks: each is a hash of all up to its end.
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

// TextBlocks gives the blocks of a prompt that is known as text.
func TextBlocks(domain, text string) []Block {
	keys := Blocks(domain, text)
	blocks := make([]Block, len(keys))
	for i, key := range keys {
		blocks[i] = Block{Key: key, Size: Covered(i+1) - Covered(i)}
	}
	return blocks
}
