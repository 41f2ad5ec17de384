package lupinvalve.subscription;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds parts of a target text that are also in a source text, by a rolling hash: blocks of the source are indexed by
 * hash, and the hash of a window is rolled along the target. Immutable once built.
 */
final class BlockIndex {
    /** Size of an indexed block; common parts shorter than this are not found. */
    static final int BLOCK_BYTES = 24;
    /** Maximum number of blocks with the same hash that are indexed and compared. */
    private static final int CANDIDATES_MAX_COUNT = 8;

    private static final int HASH_MULTIPLIER = 0x01000193;

    /** A part of the target that is also in the source. */
    record Match(int sourceOffset, int targetOffset, int length) {
        int sourceEnd() {
            return sourceOffset + length;
        }

        int targetEnd() {
            return targetOffset + length;
        }
    }

    private final byte[] source;
    private final Map<Integer, int[]> offsetsByHash = new HashMap<>();
    /** Factor of a window's oldest byte in the window's hash. */
    private final int oldestByteFactor;

    BlockIndex(byte[] source) {
        this.source = source;
        int factor = 1;
        for (int i = 1; i < BLOCK_BYTES; i++) {
            factor *= HASH_MULTIPLIER;
        }
        oldestByteFactor = factor;
        for (int offset = 0; offset + BLOCK_BYTES <= source.length; offset += BLOCK_BYTES) {
            add(hash(source, offset), offset);
        }
    }

    private void add(int hash, int offset) {
        int[] offsets = offsetsByHash.get(hash);
        if (offsets == null) {
            offsetsByHash.put(hash, new int[] {offset});
        } else if (offsets.length < CANDIDATES_MAX_COUNT) {
            int[] longer = Arrays.copyOf(offsets, offsets.length + 1);
            longer[offsets.length] = offset;
            offsetsByHash.put(hash, longer);
        }
    }

    private static int hash(byte[] bytes, int offset) {
        int hash = 0;
        for (int i = offset; i < offset + BLOCK_BYTES; i++) {
            hash = hash * HASH_MULTIPLIER + bytes[i];
        }
        return hash;
    }

    /**
     * The next part of a target that is also in the source, or null.
     *
     * @param startOffset offset in the target at which the search starts
     * @param unmatchedOffset offset of the target's unmatched bytes; a match is extended backwards to there at most
     * @param expectedSourceOffset offset in the source of the unmatched bytes if bytes were only replaced, and neither
     *     inserted nor removed
     */
    Match next(byte[] target, int startOffset, int unmatchedOffset, int expectedSourceOffset) {
        if (startOffset + BLOCK_BYTES > target.length) {
            return null;
        }
        int hash = hash(target, startOffset);
        for (int offset = startOffset; ; offset++) {
            int expected = expectedSourceOffset + offset - unmatchedOffset;
            Match longest = longestMatch(target, offset, unmatchedOffset, expected, offsetsByHash.get(hash));
            if (longest != null) {
                return longest;
            }
            if (offset + BLOCK_BYTES >= target.length) {
                return null;
            }
            hash = (hash - target[offset] * oldestByteFactor) * HASH_MULTIPLIER + target[offset + BLOCK_BYTES];
        }
    }

    private Match longestMatch(
            byte[] target, int targetOffset, int unmatchedOffset, int expectedSourceOffset, int[] candidates) {
        Match longest = match(target, targetOffset, unmatchedOffset, expectedSourceOffset);
        if (candidates == null) {
            return longest;
        }
        for (int sourceOffset : candidates) {
            Match match = match(target, targetOffset, unmatchedOffset, sourceOffset);
            if (match != null && (longest == null || match.length() > longest.length())) {
                longest = match;
            }
        }
        return longest;
    }

    /** The common part that covers an offset of the target and one of the source; null if shorter than a block. */
    private Match match(byte[] target, int targetOffset, int unmatchedOffset, int sourceOffset) {
        if (sourceOffset < 0
                || sourceOffset + BLOCK_BYTES > source.length
                || targetOffset + BLOCK_BYTES > target.length) {
            return null;
        }
        int mismatch = Arrays.mismatch(source, sourceOffset, source.length, target, targetOffset, target.length);
        int length = mismatch < 0 ? Math.min(source.length - sourceOffset, target.length - targetOffset) : mismatch;
        if (length < BLOCK_BYTES) {
            return null;
        }
        int backwardLength = 0;
        while (backwardLength < targetOffset - unmatchedOffset
                && backwardLength < sourceOffset
                && source[sourceOffset - backwardLength - 1] == target[targetOffset - backwardLength - 1]) {
            backwardLength++;
        }
        return new Match(sourceOffset - backwardLength, targetOffset - backwardLength, length + backwardLength);
    }
}
