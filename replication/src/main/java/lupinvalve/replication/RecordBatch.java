package lupinvalve.replication;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import lupinvalve.statemachine.Cbor;

/** Collects records that are written together: their count, then one after another. Not safe for threads. */
final class RecordBatch {
    /** A buffer that has grown beyond this is replaced. */
    private static final int MAX_RETAINED_BUFFER_BYTES = 1 << 20;

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int records;

    /** Adds one record. */
    void add(Consumer<Cbor.Writer> record) {
        Cbor.Writer out = new Cbor.Writer();
        record.accept(out);
        pending.writeBytes(out.toByteArray());
        records++;
    }

    /** Whether no record was added since the last {@link #clear}. */
    boolean isEmpty() {
        return records == 0;
    }

    /** All records as one frame of a file. */
    byte[] frame() throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream(pending.size() + Long.BYTES);
        content.writeBytes(new Cbor.Writer().number(records).toByteArray());
        pending.writeTo(content);
        return RecordFrames.frame(content.toByteArray());
    }

    /** Forgets all records. */
    void clear() {
        pending = pending.size() > MAX_RETAINED_BUFFER_BYTES ? new ByteArrayOutputStream() : pending;
        pending.reset();
        records = 0;
    }
}
