package lupinvalve.replication;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;
import lupinvalve.statemachine.Cbor;

/** Records that gather until they are written together: their count, then one after another. */
final class RecordBatch {
    /** A buffer that has grown beyond this is not kept. */
    private static final int BUFFER_MOST = 1 << 20;

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int records;

    /** Adds what is written. */
    void add(Consumer<Cbor.Writer> record) {
        Cbor.Writer out = new Cbor.Writer();
        record.accept(out);
        pending.writeBytes(out.toByteArray());
        records++;
    }

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

    void clear() {
        pending = pending.size() > BUFFER_MOST ? new ByteArrayOutputStream() : pending;
        pending.reset();
        records = 0;
    }
}
