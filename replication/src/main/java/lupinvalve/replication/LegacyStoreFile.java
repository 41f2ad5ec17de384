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
 * The file {@code store.jsonl} of the store of versions without replication: one JSON entry a line, and a last line
 * with a checksum. It is imported once, by a Raft group that has no configuration yet, and then renamed.
 */
final class LegacyStoreFile implements LegacyStoreImport.Source {
    private static final String NAME = "store.jsonl";
    private static final String IMPORTED_NAME = "store.jsonl.imported";
    private static final String CHECKSUM_LINE_PREFIX = "{\"crc\":";
    private static final String DOCUMENT_KEY = "document/operator";
    private static final String SESSION_KEY_PREFIX = "session/";

    private final Path folder;
    private final Map<String, Long> commitBySession = new HashMap<>();
    private byte[] document;
    private boolean renameFailureLogged;

    private LegacyStoreFile(Path folder) {
        this.folder = folder;
    }

    /** Reads the file in a folder; returns null if there is none, or if it is damaged, which is logged. */
    static LegacyStoreFile read(Path folder) {
        Path file = folder.resolve(NAME);
        if (!Files.exists(file)) {
            return null;
        }
        try {
            LegacyStoreFile store = new LegacyStoreFile(folder);
            for (String line : verifiedEntries(Files.readString(file)).split("\n")) {
                if (!line.isEmpty()) {
                    store.addEntry(line);
                }
            }
            return store;
        } catch (IOException e) {
            Log.error("store: %s is not imported: %s", file, e.getMessage());
            return null;
        }
    }

    /** Returns the text without its checksum line, after verifying the checksum. */
    private static String verifiedEntries(String text) throws IOException {
        int entriesEnd = text.lastIndexOf(CHECKSUM_LINE_PREFIX);
        String entries = text.substring(0, Math.max(0, entriesEnd));
        CRC32 crc = new CRC32();
        crc.update(entries.getBytes(StandardCharsets.UTF_8));
        if (entriesEnd < 0 || !text.substring(entriesEnd).equals(CHECKSUM_LINE_PREFIX + crc.getValue() + "}\n")) {
            throw new IOException("its checksum does not match its content");
        }
        return entries;
    }

    private void addEntry(String line) throws IOException {
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
        if (content != null && key.equals(DOCUMENT_KEY)) {
            document = content;
        } else if (key.startsWith(SESSION_KEY_PREFIX)) {
            commitBySession.put(key.substring(SESSION_KEY_PREFIX.length()), commit);
        }
    }

    @Override
    public byte[] document() {
        return document;
    }

    @Override
    public Map<String, Long> sessions() {
        return commitBySession;
    }

    @Override
    public boolean markImported() {
        try {
            Files.move(folder.resolve(NAME), folder.resolve(IMPORTED_NAME), StandardCopyOption.REPLACE_EXISTING);
            Log.info("store: the legacy store has been imported; its file is now %s", IMPORTED_NAME);
            return true;
        } catch (IOException e) {
            if (!renameFailureLogged) {
                Log.warn(
                        "store: the legacy store's file can't be renamed and may be imported again: %s",
                        e.getMessage());
                renameFailureLogged = true;
            }
            return false;
        }
    }
}
