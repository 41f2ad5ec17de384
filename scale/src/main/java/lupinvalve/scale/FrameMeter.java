package lupinvalve.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import lupinvalve.drills.FaultProxy;

/** Counts messages and bytes of the store's wire by kind, as they pass a proxy: a length of four bytes, then a kind. */
final class FrameMeter implements FaultProxy.Taps {
    private static final int LENGTH_BYTES = 4;

    /** Kinds of messages in the order of the wire's numbers; what is newer than this list is OTHER. */
    enum Kind {
        HELLO,
        RAFT,
        CALL,
        ANSWER,
        BEAT,
        OTHER
    }

    /** Messages and bytes of both directions so far. */
    record Sums(long messages, long bytes) {
        Sums plus(Sums other) {
            return new Sums(messages + other.messages, bytes + other.bytes);
        }

        Sums minus(Sums other) {
            return new Sums(messages - other.messages, bytes - other.bytes);
        }
    }

    private final Map<Kind, LongAdder> messages = new EnumMap<>(Kind.class);
    private final Map<Kind, LongAdder> bytes = new EnumMap<>(Kind.class);

    FrameMeter() {
        for (Kind kind : Kind.values()) {
            messages.put(kind, new LongAdder());
            bytes.put(kind, new LongAdder());
        }
    }

    Sums of(Kind kind) {
        return new Sums(messages.get(kind).sum(), bytes.get(kind).sum());
    }

    Sums all() {
        Sums all = new Sums(0, 0);
        for (Kind kind : Kind.values()) {
            all = all.plus(of(kind));
        }
        return all;
    }

    @Override
    public FaultProxy.Tap open(boolean there) {
        return new Reader();
    }

    /** One direction of one connection. */
    private final class Reader implements FaultProxy.Tap {
        private int lengthRead;
        private int length;
        private boolean kindDue;
        private long left;
        private Kind kind = Kind.OTHER;

        @Override
        public void passed(byte[] piece, int count) {
            int at = 0;
            while (at < count) {
                if (left > 0) {
                    int skip = (int) Math.min(left, count - at);
                    bytes.get(kind).add(skip);
                    left -= skip;
                    at += skip;
                } else if (kindDue) {
                    kind(piece[at++]);
                } else {
                    length(piece[at++]);
                }
            }
        }

        private void length(byte next) {
            length = length << 8 | next & 0xff;
            lengthRead++;
            if (lengthRead == LENGTH_BYTES) {
                kindDue = true;
            }
        }

        private void kind(byte next) {
            Kind[] kinds = Kind.values();
            kind = next >= 0 && next < Kind.OTHER.ordinal() ? kinds[next] : Kind.OTHER;
            messages.get(kind).increment();
            bytes.get(kind).add(LENGTH_BYTES + 1);
            left = Math.max(0, length - 1L);
            length = 0;
            lengthRead = 0;
            kindDue = false;
        }
    }
}
