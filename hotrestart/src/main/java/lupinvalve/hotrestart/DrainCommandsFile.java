package lupinvalve.hotrestart;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import lupinvalve.log.Log;
import lupinvalve.maintenance.DrainCommands;

/**
 * The operators' orders in a file that the two processes of an upgrade share. It is written whole beside the old one
 * and renamed, under a lock, so a reader sees one state or the other. For one thread.
 */
public final class DrainCommandsFile {
    private static final JsonFactory JSON = new JsonFactory();
    /** Longer than any file of ours: what is longer is not read. */
    private static final long BYTES_MOST = 1 << 20;

    private final SharedDirectory shelf;
    private final String file, beside, lock;
    private byte[] seen = {};
    private boolean reported;

    /** @param stem path of the files, without their endings */
    public DrainCommandsFile(Path stem) {
        this(
                SharedDirectory.atPath(stem.toAbsolutePath().getParent()),
                stem.getFileName().toString());
    }

    /** @param name of the files on the shelf, without their endings */
    public DrainCommandsFile(SharedDirectory shelf, String name) {
        this.shelf = shelf;
        file = name + ".orders.json";
        beside = name + ".orders.new";
        lock = name + ".lock";
    }

    /**
     * What the file holds where it has changed since it was last read or written, else null. Of one that is spoilt,
     * what could be read stands beside what is held: a db node too many is out, and none that was taken out is used.
     */
    public DrainCommands readIfChanged(DrainCommands held) {
        try {
            return readNewVersion(held);
        } catch (IOException e) {
            report("can't be read: " + e);
            return null;
        }
    }

    private DrainCommands readNewVersion(DrainCommands held) throws IOException {
        byte[] bytes;
        try {
            bytes = shelf.size(file) > BYTES_MOST ? new byte[] {'!'} : shelf.read(file);
        } catch (NoSuchFileException e) {
            // Nobody has given an order yet, or somebody cleared the folder: what is held stays.
            return null;
        }
        if (Arrays.equals(bytes, seen)) {
            return null;
        }
        seen = bytes;
        return read(bytes, held);
    }

    /**
     * Makes a change to what the file holds; it is in the file when this returns. Where the file can't be read there is
     * no change: made to what is held here, it would undo what the other process wrote since.
     */
    public DrainCommands update(DrainCommands held, UnaryOperator<DrainCommands> change) throws IOException {
        Closeable locked = shelf.lock(lock);
        try {
            DrainCommands other = readNewVersion(held);
            DrainCommands next = change.apply(other == null ? held : other);
            byte[] bytes = bytes(next);
            shelf.write(beside, bytes);
            shelf.move(beside, file);
            seen = bytes;
            reported = false;
            return next;
        } finally {
            locked.close();
        }
    }

    private DrainCommands read(byte[] bytes, DrainCommands held) {
        Set<String> out = new HashSet<>();
        Map<String, Long> back = new HashMap<>();
        try (JsonParser in = JSON.createParser(bytes)) {
            expect(in, in.nextToken() == JsonToken.START_OBJECT);
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                boolean outs = field.equals("out");
                expect(in, outs || field.equals("back"));
                expect(in, in.nextToken() == (outs ? JsonToken.START_ARRAY : JsonToken.START_OBJECT));
                for (JsonToken t = in.nextToken(); t != null && !t.isStructEnd(); t = in.nextToken()) {
                    if (outs) {
                        expect(in, t == JsonToken.VALUE_STRING);
                        out.add(in.getText());
                    } else {
                        String id = in.currentName();
                        expect(in, in.nextToken() == JsonToken.VALUE_NUMBER_INT);
                        back.put(id, in.getLongValue());
                    }
                }
            }
            expect(in, in.currentToken() == JsonToken.END_OBJECT && in.nextToken() == null);
            reported = false;
            return new DrainCommands(out, back);
        } catch (IOException e) {
            report("is spoilt, what could be read is joined with what is held: " + e.getMessage());
            return held.union(new DrainCommands(out, Map.of()));
        }
    }

    private static void expect(JsonParser in, boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("unexpected " + in.currentToken() + " at byte "
                    + in.currentLocation().getByteOffset());
        }
    }

    private static byte[] bytes(DrainCommands orders) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeArrayFieldStart("out");
            for (String id : orders.drained()) {
                out.writeString(id);
            }
            out.writeEndArray();
            out.writeObjectFieldStart("back");
            for (Map.Entry<String, Long> e : orders.restoredAtMicros().entrySet()) {
                out.writeNumberField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    private void report(String what) {
        if (!reported) {
            Log.error("%s %s", file, what);
            reported = true;
        }
    }
}
