package lupinvalve.scale;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Generates configurations with a given number of databases; each differs from the previous one in up to three entries.
 */
final class Documents {
    private static final int MAX_CHANGED_ENTRIES = 3;
    private static final int MIN_CONNECTION_LIMIT = 20;
    private static final int CONNECTION_LIMIT_RANGE = 200;
    private static final long STATEMENT_TIMEOUT_MILLIS = 30_000;
    private final int[] connectionLimits;
    private final int[] primaryOffsets;
    private final RandomGenerator random;
    private int documentsGenerated;

    Documents(int databases, RandomGenerator random) {
        connectionLimits = new int[databases];
        primaryOffsets = new int[databases];
        this.random = random;
        for (int i = 0; i < databases; i++) {
            connectionLimits[i] = MIN_CONNECTION_LIMIT + random.nextInt(CONNECTION_LIMIT_RANGE);
        }
    }

    /** Returns the next configuration, with other connection limits and primaries in the changed entries. */
    byte[] next() {
        documentsGenerated++;
        int changed = connectionLimits.length == 0 ? 0 : 1 + random.nextInt(MAX_CHANGED_ENTRIES);
        for (int i = 0; i < changed; i++) {
            int index = random.nextInt(connectionLimits.length);
            connectionLimits[index] = MIN_CONNECTION_LIMIT + random.nextInt(CONNECTION_LIMIT_RANGE);
            primaryOffsets[index] = random.nextInt(Topology.REGIONS);
        }
        try {
            return write();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private byte[] write() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = Json.MAPPER.getFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeObjectFieldStart("mysql");
            // Without databases the user differs, so that each configuration is a change.
            out.writeStringField("user", connectionLimits.length == 0 ? "u" + documentsGenerated : "portal");
            out.writeEndObject();
            out.writeArrayFieldStart("databases");
            for (int i = 0; i < connectionLimits.length; i++) {
                writeEntry(out, i);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    private void writeEntry(JsonGenerator out, int index) throws IOException {
        int primary = (index + primaryOffsets[index]) % Topology.REGIONS;
        out.writeStartObject();
        out.writeStringField("name", String.format("orders-%04d", index));
        out.writeStringField("group", String.format("g%04d", index));
        out.writeStringField("zone", "z" + index % Topology.ZONES);
        out.writeStringField("primary", address(primary, index));
        out.writeArrayFieldStart("replicas");
        for (int region = 0; region < Topology.REGIONS; region++) {
            if (region != primary) {
                out.writeString(address(region, index));
            }
        }
        out.writeEndArray();
        out.writeNumberField("connection_limit", connectionLimits[index]);
        out.writeNumberField("statement_timeout_ms", STATEMENT_TIMEOUT_MILLIS);
        out.writeEndObject();
    }

    private static String address(int region, int index) {
        return "10." + region + "." + index / 250 + "." + (1 + index % 250) + ":5432";
    }
}
