package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import lupinvalve.drills.FaultProxy;
import org.junit.jupiter.api.Test;

/** Frames are counted by kind for every way in which the bytes are split into reads. */
class FrameMeterTest {
    private static byte[] frames() {
        return ByteBuffer.allocate(9 + 5 + 6)
                .putInt(5)
                .put((byte) 1)
                .put(new byte[4])
                .putInt(1)
                .put((byte) 4)
                .putInt(2)
                .put((byte) 9)
                .put((byte) 0)
                .array();
    }

    @Test
    void countsAreTheSameForEachReadSize() {
        for (int size = 1; size <= frames().length; size++) {
            FrameMeter meter = new FrameMeter();
            FaultProxy.Tap tap = meter.open(true);
            for (int offset = 0; offset < frames().length; offset += size) {
                byte[] piece = java.util.Arrays.copyOfRange(frames(), offset, Math.min(frames().length, offset + size));
                tap.passed(piece, piece.length);
            }
            assertEquals(new FrameMeter.Sums(1, 9), meter.of(FrameMeter.Kind.RAFT));
            assertEquals(new FrameMeter.Sums(1, 5), meter.of(FrameMeter.Kind.BEAT));
            assertEquals(new FrameMeter.Sums(1, 6), meter.of(FrameMeter.Kind.OTHER));
            assertEquals(new FrameMeter.Sums(3, 20), meter.all());
        }
    }
}
