package lupinvalve.scale;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.commons.math3.random.RandomGenerator;

/** Configurations of so many databases, each of which differs from the one before in an entry or a few. */
final class Documents {
    private static final int ENTRIES_MOST = 3;
    private static final int LIMIT_LEAST = 20;
    private static final int LIMIT_RANGE = 200;
    private static final long TIMEOUT_MILLIS = 30_000;
    private final int[] limits;
    private final int[] primaries;
    private final RandomGenerator random;
    private int number;

    Documents(int databases, RandomGenerator random) {
        limits = new int[databases];
        primaries = new int[databases];
        this.random = random;
        for (int i = 0; i < databases; i++) {
            limits[i] = LIMIT_LEAST + random.nextInt(LIMIT_RANGE);
        }
    }

    /** The next configuration: other connection limits, or another primary. */
    byte[] next() {
        number++;
        int changed = limits.length == 0 ? 0 : 1 + random.nextInt(ENTRIES_MOST);
        for (int i = 0; i < changed; i++) {
            int at = random.nextInt(limits.length);
            limits[at] = LIMIT_LEAST + random.nextInt(LIMIT_RANGE);
            primaries[at] = random.nextInt(Topology.REGIONS);
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
            // Without databases something must differ all the same.
            out.writeStringField("user", limits.length == 0 ? "u" + number : "portal");
            out.writeEndObject();
            out.writeArrayFieldStart("databases");
            for (int i = 0; i < limits.length; i++) {
                entry(out, i);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    private void entry(JsonGenerator out, int at) throws IOException {
        int primary = (at + primaries[at]) % Topology.REGIONS;
        out.writeStartObject();
        out.writeStringField("name", String.format("orders-%04d", at));
        out.writeStringField("group", String.format("g%04d", at));
        out.writeStringField("zone", "z" + at % Topology.ZONES);
        out.writeStringField("primary", address(primary, at));
        out.writeArrayFieldStart("replicas");
        for (int region = 0; region < Topology.REGIONS; region++) {
            if (region != primary) {
                out.writeString(address(region, at));
            }
        }
        out.writeEndArray();
        out.writeNumberField("connection_limit", limits[at]);
        out.writeNumberField("statement_timeout_ms", TIMEOUT_MILLIS);
        out.writeEndObject();
    }

    private static String address(int region, int at) {
        return "10." + region + "." + at / 250 + "." + (1 + at % 250) + ":5432";
    }
}
