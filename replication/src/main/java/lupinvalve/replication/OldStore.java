package lupinvalve.replication;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;
import lupinvalve.log.Log;

/**
 * What the earlier store left in a folder, {@code store.jsonl}: one entry a line, and a checksum. Taken over once, by a
 * group that has no configuration yet; the file then has another name.
 */
final class OldStore implements LegacyStoreImport.Source {
    private static final String FILE = "store.jsonl",
            DONE = "store.jsonl.imported",
            END = "{\"crc\":",
            SESSION = "session/";
    private final Path folder;
    private byte[] document;
    private boolean reported;
    private final Map<String, Long> sessions = new HashMap<>();

    private OldStore(Path folder) {
        this.folder = folder;
    }

    /** What is there to be taken over, or null. */
    static OldStore read(Path folder) {
        Path file = folder.resolve(FILE);
        if (!Files.exists(file)) {
            return null;
        }
        try {
            String text = Files.readString(file);
            int end = text.lastIndexOf(END);
            CRC32 crc = new CRC32();
            crc.update(text.substring(0, Math.max(0, end)).getBytes(StandardCharsets.UTF_8));
            if (end < 0 || !text.substring(end).equals(END + crc.getValue() + "}\n")) {
                throw new IOException("its checksum is wrong");
            }
            OldStore old = new OldStore(folder);
            for (String line : text.substring(0, end).split("\n")) {
                if (!line.isEmpty()) {
                    old.line(line);
                }
            }
            return old;
        } catch (IOException e) {
            Log.error("store: %s is not taken over: %s", file, e.getMessage());
            return null;
        }
    }

    private void line(String line) throws IOException {
        String key = "";
        byte[] content = null;
        long commit = 0;
        try (JsonParser in = new JsonFactory().createParser(line)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "key" -> key = in.getText();
                    case "content" -> content = in.getBinaryValue();
                    case "commit" -> commit = in.getLongValue();
                    default -> in.skipChildren();
                }
            }
        }
        if (content != null && key.equals("document/operator")) {
            document = content;
        } else if (key.startsWith(SESSION)) {
            sessions.put(key.substring(SESSION.length()), commit);
        }
    }

    @Override
    public byte[] document() {
        return document;
    }

    @Override
    public Map<String, Long> sessions() {
        return sessions;
    }

    @Override
    public boolean markImported() {
        try {
            Files.move(folder.resolve(FILE), folder.resolve(DONE), StandardCopyOption.REPLACE_EXISTING);
            Log.info("store: what the earlier store left has been taken over; its file is now %s", DONE);
            return true;
        } catch (IOException e) {
            if (!reported) {
                Log.warn("store: %s", e.getMessage());
                reported = true;
            }
            return false;
        }
    }
}
