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
 * Stores the operators' drain commands in a file that the two processes of a hot restart share. Each version is written
 * to a temporary file and moved into place under a lock, so a reader sees one complete version. Confined to one thread;
 * blocks on disk I/O.
 */
public final class DrainCommandsFile {
    private static final JsonFactory JSON = new JsonFactory();
    /** Field name of {@link DrainCommands#drained()} in the file. */
    private static final String DRAINED_FIELD = "out";
    /** Field name of {@link DrainCommands#restoredAtMicros()} in the file. */
    private static final String RESTORED_FIELD = "back";
    /** Size limit for reading; larger than any file that a pooler writes. */
    private static final long MAX_FILE_BYTES = 1 << 20;
    /** Substitute for the content of a file over the size limit; not valid JSON, so it is handled as corrupt. */
    private static final byte[] TOO_LONG = {'!'};

    private final SharedDirectory directory;
    private final String fileName;
    private final String temporaryName;
    private final String lockName;
    /** The content that was last read or written. */
    private byte[] lastContent = {};

    private boolean errorReported;

    /** @param stem path of the files without their suffixes */
    public DrainCommandsFile(Path stem) {
        this(
                SharedDirectory.atPath(stem.toAbsolutePath().getParent()),
                stem.getFileName().toString());
    }

    /** @param name name of the files in the directory without their suffixes */
    public DrainCommandsFile(SharedDirectory directory, String name) {
        this.directory = directory;
        fileName = name + ".orders.json";
        temporaryName = name + ".orders.new";
        lockName = name + ".lock";
    }

    /**
     * Returns the commands in the file if it has changed since it was last read or written, else null. The readable
     * part of a corrupt file is merged with the current commands: a db node may stay drained unnecessarily, but none is
     * used that operators have drained.
     *
     * @param current the commands that this process applies
     */
    public DrainCommands readIfChanged(DrainCommands current) {
        try {
            return readNewVersion(current);
        } catch (IOException e) {
            report("can't be read, the current drain commands stay in force: " + e);
            return null;
        }
    }

    private DrainCommands readNewVersion(DrainCommands current) throws IOException {
        byte[] content;
        try {
            content = directory.size(fileName) > MAX_FILE_BYTES ? TOO_LONG : directory.read(fileName);
        } catch (NoSuchFileException e) {
            // No command was stored yet, or the directory was cleared: the current commands remain in force.
            return null;
        }
        if (Arrays.equals(content, lastContent)) {
            return null;
        }
        lastContent = content;
        return decode(content, current);
    }

    /**
     * Changes the commands and stores them in the file before it returns. Throws without a change if the file can't be
     * read: a change based on the current commands would undo what the other process has written since.
     *
     * @param current the commands that this process applies
     */
    public DrainCommands update(DrainCommands current, UnaryOperator<DrainCommands> change) throws IOException {
        Closeable lock = directory.lock(lockName);
        try {
            DrainCommands other = readNewVersion(current);
            DrainCommands next = change.apply(other == null ? current : other);
            byte[] content = encode(next);
            directory.write(temporaryName, content);
            directory.move(temporaryName, fileName);
            lastContent = content;
            errorReported = false;
            return next;
        } finally {
            lock.close();
        }
    }

    private DrainCommands decode(byte[] content, DrainCommands current) {
        Set<String> drained = new HashSet<>();
        Map<String, Long> restored = new HashMap<>();
        try (JsonParser in = JSON.createParser(content)) {
            expect(in, in.nextToken() == JsonToken.START_OBJECT);
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                if (in.currentName().equals(DRAINED_FIELD)) {
                    readDrained(in, drained);
                } else {
                    expect(in, in.currentName().equals(RESTORED_FIELD));
                    readRestored(in, restored);
                }
            }
            expect(in, in.currentToken() == JsonToken.END_OBJECT && in.nextToken() == null);
            errorReported = false;
            return new DrainCommands(drained, restored);
        } catch (IOException e) {
            report("is corrupt, what could be read is merged with the current commands: " + e.getMessage());
            return current.union(new DrainCommands(drained, Map.of()));
        }
    }

    private static void readDrained(JsonParser in, Set<String> drained) throws IOException {
        expect(in, in.nextToken() == JsonToken.START_ARRAY);
        while (nextIsValue(in)) {
            expect(in, in.currentToken() == JsonToken.VALUE_STRING);
            drained.add(in.getText());
        }
    }

    private static void readRestored(JsonParser in, Map<String, Long> restored) throws IOException {
        expect(in, in.nextToken() == JsonToken.START_OBJECT);
        while (nextIsValue(in)) {
            String id = in.currentName();
            expect(in, in.nextToken() == JsonToken.VALUE_NUMBER_INT);
            restored.put(id, in.getLongValue());
        }
    }

    private static boolean nextIsValue(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        return token != null && !token.isStructEnd();
    }

    private static void expect(JsonParser in, boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("unexpected " + in.currentToken() + " at byte "
                    + in.currentLocation().getByteOffset());
        }
    }

    private static byte[] encode(DrainCommands commands) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(content)) {
            out.writeStartObject();
            out.writeArrayFieldStart(DRAINED_FIELD);
            for (String id : commands.drained()) {
                out.writeString(id);
            }
            out.writeEndArray();
            out.writeObjectFieldStart(RESTORED_FIELD);
            for (Map.Entry<String, Long> restored : commands.restoredAtMicros().entrySet()) {
                out.writeNumberField(restored.getKey(), restored.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        return content.toByteArray();
    }

    /** Logs an error, and suppresses further ones until the file is read or written successfully. */
    private void report(String problem) {
        if (!errorReported) {
            Log.error("%s %s", fileName, problem);
            errorReported = true;
        }
    }
}
