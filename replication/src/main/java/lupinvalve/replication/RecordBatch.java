package lupinvalve.replication;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import lupinvalve.statemachine.Cbor;

/** Collects records that are written as one frame: their count, then one record after another. Not thread-safe. */
final class RecordBatch {
    /** A larger buffer is replaced by a new one after use, to free its memory. */
    private static final int MAX_RETAINED_BUFFER_BYTES = 1 << 20;

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int recordCount;

    /** Adds one record. */
    void add(Consumer<Cbor.Writer> record) {
        Cbor.Writer out = new Cbor.Writer();
        record.accept(out);
        pending.writeBytes(out.toByteArray());
        recordCount++;
    }

    /** Whether no record has been added since the last {@link #clear}. */
    boolean isEmpty() {
        return recordCount == 0;
    }

    /** Returns all records as one frame, see {@link RecordFrames}. */
    byte[] frame() throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream(pending.size() + Long.BYTES);
        content.writeBytes(new Cbor.Writer().number(recordCount).toByteArray());
        pending.writeTo(content);
        return RecordFrames.frame(content.toByteArray());
    }

    /** Removes all records. */
    void clear() {
        pending = pending.size() > MAX_RETAINED_BUFFER_BYTES ? new ByteArrayOutputStream() : pending;
        pending.reset();
        recordCount = 0;
    }
}
