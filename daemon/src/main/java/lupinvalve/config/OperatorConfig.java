package lupinvalve.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator's file: what is off on the platform. Each part may be absent (null).
 *
 * @param revision of two versions of the shared parts, the one with the higher revision holds everywhere
 */
public record OperatorConfig(long revision, Mysql mysql, Store store, DnsSd dnsSd) {
    /** The MySQL front and how db nodes are reached over that protocol. */
    public record Mysql(String listen, String user, String password, int nodePort, String nodeUser,
            String nodePassword, String database) {}

    /** This replica of the store; {@code secret} guards against strangers' mistakes. */
    public record Store(String name, Path folder, String listen, List<String> peers, String secret) {}

    /** Db nodes from DNS-SD instead of the platform's list. */
    public record DnsSd(String resolver, String service, long pollMicros) {}

    /** Nothing turned on, as on the platform. */
    public static final OperatorConfig NONE = new OperatorConfig(0, null, null, null);
    private static final JsonFactory JSON = new JsonFactory();

    public static OperatorConfig read(byte[] json) throws IOException {
        long revision = 0;
        Mysql mysql = null;
        Store store = null;
        DnsSd dnsSd = null;
        try (JsonParser in = JSON.createParser(json)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("operator's file: not a JSON object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken token = in.nextToken();
                boolean section = token == JsonToken.START_OBJECT;
                if (name.equals("revision") && token == JsonToken.VALUE_NUMBER_INT) {
                    revision = in.getLongValue();
                } else if (name.equals("mysql") && section) {
                    mysql = mysql(in);
                } else if (name.equals("store") && section) {
                    store = store(in);
                } else if (name.equals("dns_sd") && section) {
                    dnsSd = dnsSd(in);
                } else {
                    // A section misspelt would stay off without a word.
                    throw new IOException("operator's file: " + name + " is unknown or of a wrong kind");
                }
            }
        }
        return new OperatorConfig(revision, mysql, store, dnsSd);
    }

    /** What all replicas of the store share, as a document: neither the store itself nor where this one listens. */
    public byte[] shared() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("revision", revision);
            if (mysql != null) {
                out.writeObjectFieldStart("mysql");
                out.writeStringField("user", mysql.user());
                out.writeStringField("password", mysql.password());
                out.writeNumberField("node_port", mysql.nodePort());
                out.writeStringField("node_user", mysql.nodeUser());
                out.writeStringField("node_password", mysql.nodePassword());
                out.writeStringField("database", mysql.database());
                out.writeEndObject();
            }
            if (dnsSd != null) {
                out.writeObjectFieldStart("dns_sd");
                out.writeStringField("resolver", dnsSd.resolver());
                out.writeStringField("service", dnsSd.service());
                out.writeNumberField("poll_ms", dnsSd.pollMicros() / 1000);
                out.writeEndObject();
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** This file with the shared parts of a document; the front is on only where this file says where it listens. */
    public OperatorConfig with(byte[] document) throws IOException {
        OperatorConfig other = read(document);
        Mysql m = other.mysql;
        return new OperatorConfig(other.revision, m == null || mysql == null ? mysql
                : new Mysql(mysql.listen, m.user, m.password, m.nodePort, m.nodeUser, m.nodePassword, m.database),
                store, other.dnsSd);
    }

    private static Mysql mysql(JsonParser in) throws IOException {
        String listen = null;
        String user = null;
        String password = "";
        int nodePort = 3306;
        String nodeUser = null;
        String nodePassword = "";
        String database = "";
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "listen" -> listen = in.getValueAsString();
                case "user" -> user = in.getValueAsString();
                case "password" -> password = in.getValueAsString("");
                case "node_port" -> nodePort = in.getValueAsInt();
                case "node_user" -> nodeUser = in.getValueAsString();
                case "node_password" -> nodePassword = in.getValueAsString("");
                case "database" -> database = in.getValueAsString("");
                default -> throw unknown("mysql", name);
            }
        }
        needed("mysql.user", user);
        return new Mysql(listen, user, password, nodePort, nodeUser == null ? user : nodeUser, nodePassword, database);
    }

    private static Store store(JsonParser in) throws IOException {
        String replica = null;
        String folder = null;
        String listen = null;
        String secret = "";
        List<String> peers = new ArrayList<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "name" -> replica = in.getValueAsString();
                case "folder" -> folder = in.getValueAsString();
                case "listen" -> listen = in.getValueAsString();
                case "secret" -> secret = in.getValueAsString("");
                case "peers" -> {
                    while (in.nextToken() == JsonToken.VALUE_STRING) {
                        peers.add(in.getText());
                    }
                }
                default -> throw unknown("store", name);
            }
        }
        needed("store.name", replica);
        needed("store.folder", folder);
        needed("store.listen", listen);
        return new Store(replica, Path.of(folder), listen, List.copyOf(peers), secret);
    }

    private static DnsSd dnsSd(JsonParser in) throws IOException {
        String resolver = null;
        String service = null;
        long poll = 1_000_000;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "resolver" -> resolver = in.getValueAsString();
                case "service" -> service = in.getValueAsString();
                case "poll_ms" -> poll = in.getValueAsLong() * 1000;
                default -> throw unknown("dns_sd", name);
            }
        }
        needed("dns_sd.resolver", resolver);
        needed("dns_sd.service", service);
        return new DnsSd(resolver, service, Math.max(100_000, poll));
    }

    private static IOException unknown(String section, String name) {
        return new IOException("operator's file: " + section + "." + name + " is unknown");
    }

    private static void needed(String name, String value) throws IOException {
        if (value == null) {
            throw new IOException("operator's file: " + name + " is missing");
        }
    }
}
