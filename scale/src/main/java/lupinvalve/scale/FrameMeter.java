package lupinvalve.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import lupinvalve.drills.FaultProxy;

/**
 * Counts messages and bytes of the replication protocol by kind as they pass through a proxy. A frame is a length of
 * four bytes, a byte with the kind, and the rest of the message.
 */
final class FrameMeter implements FaultProxy.Taps {
    private static final int LENGTH_BYTES = 4;

    /** Kinds of messages in the order of their numbers in the protocol; unlisted numbers count as OTHER. */
    enum Kind {
        HELLO,
        RAFT,
        CALL,
        ANSWER,
        BEAT,
        OTHER
    }

    /** Messages and bytes so far, both directions together. */
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
    public FaultProxy.Tap open(boolean towardsTarget) {
        return new Reader();
    }

    /** Parses the frames of one direction of a connection. */
    private final class Reader implements FaultProxy.Tap {
        private int lengthBytesRead;
        private int length;
        private boolean kindExpected;
        private long remainingBytes;
        private Kind kind = Kind.OTHER;

        @Override
        public void passed(byte[] piece, int count) {
            int offset = 0;
            while (offset < count) {
                if (remainingBytes > 0) {
                    int skip = (int) Math.min(remainingBytes, count - offset);
                    bytes.get(kind).add(skip);
                    remainingBytes -= skip;
                    offset += skip;
                } else if (kindExpected) {
                    readKind(piece[offset++]);
                } else {
                    readLengthByte(piece[offset++]);
                }
            }
        }

        private void readLengthByte(byte next) {
            length = length << 8 | next & 0xff;
            lengthBytesRead++;
            if (lengthBytesRead == LENGTH_BYTES) {
                kindExpected = true;
            }
        }

        private void readKind(byte next) {
            Kind[] kinds = Kind.values();
            kind = next >= 0 && next < Kind.OTHER.ordinal() ? kinds[next] : Kind.OTHER;
            messages.get(kind).increment();
            bytes.get(kind).add(LENGTH_BYTES + 1);
            remainingBytes = Math.max(0, length - 1L);
            length = 0;
            lengthBytesRead = 0;
            kindExpected = false;
        }
    }
}
