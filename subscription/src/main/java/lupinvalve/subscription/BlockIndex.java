package lupinvalve.subscription;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Finds parts of one text in another, by a hash of each of its blocks that rolls along the other. */
final class BlockIndex {
    /** Bytes of a block; shorter parts are not found. */
    static final int BLOCK = 24;
    /** Blocks of the same hash that are looked at, and those that are kept. */
    private static final int LOOKED_AT = 8;

    private static final int FACTOR = 0x01000193;

    /** A part of the new text that stands in the old one. */
    record Match(int from, int at, int length) {}

    private final byte[] text;
    private final Map<Integer, int[]> blocks = new HashMap<>();
    private int top = 1;

    BlockIndex(byte[] text) {
        this.text = text;
        for (int i = 1; i < BLOCK; i++) {
            top *= FACTOR;
        }
        for (int at = 0; at + BLOCK <= text.length; at += BLOCK) {
            add(hash(text, at), at);
        }
    }

    private void add(int hash, int at) {
        int[] known = blocks.get(hash);
        if (known == null) {
            blocks.put(hash, new int[] {at});
        } else if (known.length < LOOKED_AT) {
            int[] more = Arrays.copyOf(known, known.length + 1);
            more[known.length] = at;
            blocks.put(hash, more);
        }
    }

    private static int hash(byte[] bytes, int at) {
        int hash = 0;
        for (int i = at; i < at + BLOCK; i++) {
            hash = hash * FACTOR + bytes[i];
        }
        return hash;
    }

    /**
     * The next part of another text that stands in this one, or null.
     *
     * @param from where to look from
     * @param free how far back the part may begin
     * @param likely where it would stand in this text, had as many bytes been replaced as have come
     */
    Match next(byte[] other, int from, int free, int likely) {
        if (from + BLOCK > other.length) {
            return null;
        }
        int hash = hash(other, from);
        for (int at = from; ; at++) {
            Match best = longest(other, at, free, likely + at - free, blocks.get(hash));
            if (best != null) {
                return best;
            }
            if (at + BLOCK >= other.length) {
                return null;
            }
            hash = (hash - other[at] * top) * FACTOR + other[at + BLOCK];
        }
    }

    private Match longest(byte[] other, int at, int free, int likely, int[] candidates) {
        Match best = match(other, at, free, likely);
        for (int i = 0; candidates != null && i < candidates.length; i++) {
            Match one = match(other, at, free, candidates[i]);
            best = one != null && (best == null || one.length() > best.length()) ? one : best;
        }
        return best;
    }

    /** What is the same around a place in both texts, or null where that is less than a block. */
    private Match match(byte[] other, int at, int free, int from) {
        if (from < 0 || from + BLOCK > text.length || at + BLOCK > other.length) {
            return null;
        }
        int same = Arrays.mismatch(text, from, text.length, other, at, other.length);
        int length = same < 0 ? Math.min(text.length - from, other.length - at) : same;
        if (length < BLOCK) {
            return null;
        }
        int back = 0;
        while (back < at - free && back < from && text[from - back - 1] == other[at - back - 1]) {
            back++;
        }
        return new Match(from - back, at - back, length + back);
    }
}
