package lupinvalve.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Parses the operator's file, and the documents that a group stores, which have the same format. */
final class OperatorConfigParser {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String NAME_PATTERN = "[A-Za-z0-9_-]{1,63}";
    private static final int MAX_MEMBERS_COUNT = 15;
    private static final long MAX_WAIT_MICROS = 1_000_000;
    private static final long DEFAULT_POLL_MICROS = 1_000_000;
    private static final long MIN_POLL_MICROS = 100_000;
    private static final long MICROS_PER_MILLI = 1000;
    private static final int DEFAULT_MYSQL_PORT = 3306;

    private OperatorConfigParser() {}

    /** Parses an operator's file, or a document that a group stores. */
    static OperatorConfig parse(byte[] json) throws IOException {
        long revision = 0;
        OperatorConfig.Mysql mysql = null;
        OperatorConfig.Store store = null;
        OperatorConfig.DnsSd dnsSd = null;
        List<Database> databases = List.of();
        try (JsonParser in = JSON.createParser(json)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException("operator's file: not a JSON object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken token = in.nextToken();
                boolean isObject = token == JsonToken.START_OBJECT;
                if (name.equals("revision") && token == JsonToken.VALUE_NUMBER_INT) {
                    revision = in.getLongValue();
                } else if (name.equals("mysql") && isObject) {
                    mysql = mysql(in);
                } else if (name.equals("store") && isObject) {
                    store = store(in);
                } else if (name.equals("dns_sd") && isObject) {
                    dnsSd = dnsSd(in);
                } else if (name.equals("databases") && token == JsonToken.START_ARRAY) {
                    databases = Database.readAll(in);
                } else {
                    // Rejected: a misspelt section would otherwise stay off without an error.
                    throw new ConfigException("operator's file: " + name + " is unknown or of a wrong kind");
                }
            }
        }
        return new OperatorConfig(revision, mysql, store, dnsSd, databases);
    }

    private static OperatorConfig.Mysql mysql(JsonParser in) throws IOException {
        String listen = null;
        String user = null;
        String password = "";
        int nodePort = DEFAULT_MYSQL_PORT;
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
        requirePresent("mysql.user", user);
        return new OperatorConfig.Mysql(
                listen, user, password, nodePort, nodeUser == null ? user : nodeUser, nodePassword, database);
    }

    private static OperatorConfig.Store store(JsonParser in) throws IOException {
        String cluster = "lupinvalve";
        String member = null;
        String folder = null;
        String listen = null;
        OperatorConfig.Tls tls = null;
        long waitMicros = 0;
        OperatorConfig.Audit audit = OperatorConfig.Audit.OFF;
        OperatorConfig.Role role = OperatorConfig.Role.MEMBER;
        Map<String, String> members = new TreeMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "cluster" -> cluster = in.getValueAsString();
                case "name" -> member = in.getValueAsString();
                case "folder" -> folder = in.getValueAsString();
                case "listen" -> listen = in.getValueAsString();
                case "members" -> members(in, members);
                case "tls" -> tls = tls(in);
                case "audit" -> audit = audit(in.getValueAsString(""));
                case "role" -> role = role(in.getValueAsString(""));
                case "wait_for_majority_ms" -> waitMicros = in.getValueAsLong(-1) * MICROS_PER_MILLI;
                case "peers", "secret" -> throw new ConfigException("operator's file: store." + name
                        + " was the old store's; now store.members names all members, and store.tls guards them");
                default -> throw unknown("store", name);
            }
        }
        requirePresent("store.name", member);
        requirePresent("store.folder", folder);
        if (role == OperatorConfig.Role.SUBSCRIBER) {
            checkSubscriber(listen, waitMicros);
        } else {
            requirePresent("store.listen", listen);
        }
        checkNames(cluster, member, members);
        checkWait(waitMicros);
        return new OperatorConfig.Store(
                cluster, member, Path.of(folder), listen, Map.copyOf(members), tls, waitMicros, audit, role);
    }

    private static void checkNames(String cluster, String member, Map<String, String> members) throws ConfigException {
        if (!member.matches(NAME_PATTERN) || !cluster.matches(NAME_PATTERN)) {
            throw new ConfigException("operator's file: store.name and store.cluster are letters, digits, - and _: "
                    + member + ", " + cluster);
        }
        if (members.isEmpty() || members.size() > MAX_MEMBERS_COUNT) {
            throw new ConfigException("operator's file: store.members names " + members.size() + " members; 1 to "
                    + MAX_MEMBERS_COUNT + " are possible");
        }
    }

    private static void checkWait(long waitMicros) throws ConfigException {
        if (waitMicros < 0 || waitMicros > MAX_WAIT_MICROS) {
            throw new ConfigException("operator's file: store.wait_for_majority_ms is " + waitMicros / MICROS_PER_MILLI
                    + "; 0 to " + MAX_WAIT_MICROS / MICROS_PER_MILLI + " are possible");
        }
    }

    /** A subscriber accepts no connections from peers, and does not replicate its sessions' commits to a majority. */
    private static void checkSubscriber(String listen, long waitMicros) throws ConfigException {
        if (listen != null) {
            throw new ConfigException("operator's file: store.listen is " + listen + "; a subscriber listens nowhere");
        }
        if (waitMicros != 0) {
            throw new ConfigException("operator's file: store.wait_for_majority_ms is " + waitMicros / MICROS_PER_MILLI
                    + "; a subscriber tells the group of no commits");
        }
    }

    private static OperatorConfig.Role role(String text) throws ConfigException {
        return switch (text) {
            case "member" -> OperatorConfig.Role.MEMBER;
            case "subscriber" -> OperatorConfig.Role.SUBSCRIBER;
            default -> throw new ConfigException(
                    "operator's file: store.role is " + text + "; member and subscriber are possible");
        };
    }

    private static OperatorConfig.Audit audit(String text) throws ConfigException {
        return switch (text) {
            case "off" -> OperatorConfig.Audit.OFF;
            case "serve" -> OperatorConfig.Audit.SERVE;
            case "fence" -> OperatorConfig.Audit.FENCE;
            default -> throw new ConfigException(
                    "operator's file: store.audit is " + text + "; off, serve and fence are possible");
        };
    }

    private static void members(JsonParser in, Map<String, String> members) throws IOException {
        if (!in.hasToken(JsonToken.START_OBJECT)) {
            throw new ConfigException("operator's file: store.members is an object of names and addresses");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            String address = in.getValueAsString("");
            if (!name.matches(NAME_PATTERN) || !address.matches(".+:[0-9]{1,5}")) {
                throw new ConfigException("operator's file: store.members." + name + " is " + address + ", no address");
            }
            members.put(name, address);
        }
    }

    private static OperatorConfig.Tls tls(JsonParser in) throws IOException {
        Map<String, Path> files = new TreeMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            if (!List.of("authority", "certificate", "key").contains(name)) {
                throw unknown("store.tls", name);
            }
            files.put(name, Path.of(in.getValueAsString("")));
        }
        for (String name : List.of("authority", "certificate", "key")) {
            requirePresent("store.tls." + name, files.containsKey(name) ? "" : null);
        }
        return new OperatorConfig.Tls(files.get("authority"), files.get("certificate"), files.get("key"));
    }

    private static OperatorConfig.DnsSd dnsSd(JsonParser in) throws IOException {
        String resolver = null;
        String service = null;
        long pollMicros = DEFAULT_POLL_MICROS;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "resolver" -> resolver = in.getValueAsString();
                case "service" -> service = in.getValueAsString();
                case "poll_ms" -> pollMicros = in.getValueAsLong() * MICROS_PER_MILLI;
                default -> throw unknown("dns_sd", name);
            }
        }
        requirePresent("dns_sd.resolver", resolver);
        requirePresent("dns_sd.service", service);
        return new OperatorConfig.DnsSd(resolver, service, Math.max(MIN_POLL_MICROS, pollMicros));
    }

    private static ConfigException unknown(String section, String name) {
        return new ConfigException("operator's file: " + section + "." + name + " is unknown");
    }

    private static void requirePresent(String name, String value) throws ConfigException {
        if (value == null) {
            throw new ConfigException("operator's file: " + name + " is missing");
        }
    }
}
