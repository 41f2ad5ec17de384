package lupinvalve.maintenance;

import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Remembers the ids of requests that may have been sent to a db node, so that none is sent again for a client that uses
 * an id twice: also when its first client has left, and also where the other process of a hot restart has sent it. An
 * id is kept for {@link #KEPT_MILLIS}, and no longer than until newer ones need its place.
 *
 * <p>A hash table of fixed size in memory that two processes may share: each entry is one word, which is claimed by a
 * compare-and-set. No I/O; the time is an argument, which all processes must read from one clock. Safe for all threads
 * and processes.
 */
public final class SentIds {
    /** Words of memory that the table needs. */
    public static final int WORDS_COUNT = (1 << 16) + 1;

    /** How long an id is kept. */
    public static final long KEPT_MILLIS = TimeUnit.SECONDS.toMillis(10);

    private static final int SLOT_BITS = 16;
    private static final int SLOT_MASK = (1 << SLOT_BITS) - 1;
    /** The places that an id may have. */
    private static final int PROBES_COUNT = 16;
    /** An entry's lower bits are its time in units of this. */
    private static final long TIME_UNIT_MILLIS = 256;

    private static final long TIME_MASK = 0xFFFF;
    /** The age of an entry whose place is free. */
    private static final long FREE = TIME_MASK + 1;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HASH_SHIFT = 32;

    private final Words words;
    private final long hashSeed;

    /** Memory of {@link #WORDS_COUNT} words, zero at first; processes may share it. */
    public interface Words {
        /** The word at an index, as it was last written by any thread or process. */
        long get(int index);

        /** Replaces a word if it is as expected; returns whether it was. */
        boolean compareAndSet(int index, long expected, long replacement);
    }

    /** The memory of this process alone. */
    private static final class OwnWords implements Words {
        private final AtomicLongArray words = new AtomicLongArray(WORDS_COUNT);

        @Override
        public long get(int index) {
            return words.get(index);
        }

        @Override
        public boolean compareAndSet(int index, long expected, long replacement) {
            return words.compareAndSet(index, expected, replacement);
        }
    }

    /** Ids of this process alone. */
    public SentIds() {
        this(new OwnWords());
    }

    /** Ids in memory that processes may share. */
    public SentIds(Words words) {
        this.words = words;
        // The first word is the seed of the hash, which clients must not know.
        words.compareAndSet(0, 0, new SecureRandom().nextLong() | 1);
        hashSeed = words.get(0);
    }

    /** Takes an id; false if it has been taken before. */
    public boolean claim(String id, long nowMillis) {
        long hash = hash(id);
        long tag = hash & ~TIME_MASK;
        long entry = tag | time(nowMillis);
        while (true) {
            int place = placeToTake(hash, nowMillis);
            if (place < 0) {
                return false;
            }
            long former = words.get(place);
            if (!isKept(former, tag, nowMillis) && words.compareAndSet(place, former, entry)) {
                return true;
            }
        }
    }

    /** Gives an id back, as its client knows how its request has ended, or as nothing of it was sent. */
    public void release(String id, long nowMillis) {
        long hash = hash(id);
        long tag = hash & ~TIME_MASK;
        for (int i = 0; i < PROBES_COUNT; i++) {
            int place = place(hash, i);
            long entry = words.get(place);
            if (isKept(entry, tag, nowMillis)) {
                words.compareAndSet(place, entry, 0L);
            }
        }
    }

    private static int place(long hash, int probe) {
        int step = (int) (hash >>> SLOT_BITS) | 1;
        return 1 + ((int) hash + probe * step & SLOT_MASK);
    }

    /** The place for an id: a free one, or that of the oldest entry; negative if the id is there already. */
    private int placeToTake(long hash, long nowMillis) {
        long tag = hash & ~TIME_MASK;
        int oldest = 0;
        long oldestAge = -1;
        for (int i = 0; i < PROBES_COUNT; i++) {
            int place = place(hash, i);
            long entry = words.get(place);
            if (isKept(entry, tag, nowMillis)) {
                return -1;
            }
            long age = age(entry, nowMillis);
            if (age > oldestAge) {
                oldest = place;
                oldestAge = age;
            }
        }
        return oldest;
    }

    private static boolean isKept(long entry, long tag, long nowMillis) {
        return (entry & ~TIME_MASK) == tag && age(entry, nowMillis) < FREE;
    }

    /** The age of an entry; {@link #FREE} if it is not kept any more, so that processes choose the same place. */
    private static long age(long entry, long nowMillis) {
        long age = time(nowMillis) - entry & TIME_MASK;
        return entry == 0 || age > KEPT_MILLIS / TIME_UNIT_MILLIS ? FREE : age;
    }

    private static long time(long nowMillis) {
        return nowMillis / TIME_UNIT_MILLIS & TIME_MASK;
    }

    private long hash(String id) {
        long hash = hashSeed;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * HASH_MULTIPLIER;
            hash ^= hash >>> HASH_SHIFT;
        }
        return hash;
    }
}
