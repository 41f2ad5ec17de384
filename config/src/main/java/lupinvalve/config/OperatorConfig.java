package lupinvalve.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The operator's file: what is off on the platform. Each part may be absent (null).
 *
 * @param revision of two versions of the shared parts, the one with the higher revision holds everywhere
 * @param databases that the installation serves; empty where they are not named
 */
public record OperatorConfig(long revision, Mysql mysql, Store store, DnsSd dnsSd, List<Database> databases) {
    /** Without databases. */
    public OperatorConfig(long revision, Mysql mysql, Store store, DnsSd dnsSd) {
        this(revision, mysql, store, dnsSd, List.of());
    }

    /** The MySQL front and how db nodes are reached over that protocol. */
    public record Mysql(
            String listen,
            String user,
            String password,
            int nodePort,
            String nodeUser,
            String nodePassword,
            String database) {}

    /**
     * This pooler's part in the group that keeps the configuration.
     *
     * @param cluster whom members may talk to at all
     * @param listen where this member listens; others hear of it by that address; null at a subscriber
     * @param members addresses of the members by name, as reached from here; they found the group, or are followed
     * @param waitMicros how long a booking's answer waits for a majority to hold its session's token; 0 for not at all
     * @param role whether it is a member or follows the members
     */
    public record Store(
            String cluster,
            String name,
            Path folder,
            String listen,
            Map<String, String> members,
            Tls tls,
            long waitMicros,
            Audit audit,
            Role role) {
        public Store(
                String cluster,
                String name,
                Path folder,
                String listen,
                Map<String, String> members,
                Tls tls,
                long waitMicros) {
            this(cluster, name, folder, listen, members, tls, waitMicros, Audit.OFF);
        }

        /** A member. */
        public Store(
                String cluster,
                String name,
                Path folder,
                String listen,
                Map<String, String> members,
                Tls tls,
                long waitMicros,
                Audit audit) {
            this(cluster, name, folder, listen, members, tls, waitMicros, audit, Role.MEMBER);
        }

        /** One that follows the members. */
        public static Store subscriber(
                String cluster, String name, Path folder, Map<String, String> members, Tls tls, Audit audit) {
            return new Store(cluster, name, folder, null, members, tls, 0, audit, Role.SUBSCRIBER);
        }
    }

    /**
     * Whether a pooler is a member of the group (it keeps the log and may vote) or follows what members have accepted.
     */
    public enum Role {
        MEMBER,
        SUBSCRIBER
    }

    /**
     * Whether a member keeps entries of what it acts on and holds a lease for it, and what it does once that has ended.
     */
    public enum Audit {
        OFF,
        SERVE,
        FENCE
    }

    /** PEM files: who signs members' certificates, this member's own and its key. */
    public record Tls(Path authority, Path certificate, Path key) {}

    /** Db nodes from DNS-SD instead of the platform's list. */
    public record DnsSd(String resolver, String service, long pollMicros) {}

    /** Nothing turned on, as on the platform. */
    public static final OperatorConfig NONE = new OperatorConfig(0, null, null, null);

    private static final JsonFactory JSON = new JsonFactory();
    private static final String NAME = "[A-Za-z0-9_-]{1,63}";
    private static final int MEMBERS_MOST = 15;
    private static final long WAIT_MOST = 1_000_000;

    public static OperatorConfig read(byte[] json) throws IOException {
        long revision = 0;
        Mysql mysql = null;
        Store store = null;
        DnsSd dnsSd = null;
        List<Database> databases = List.of();
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
                } else if (name.equals("databases") && token == JsonToken.START_ARRAY) {
                    databases = Database.readAll(in);
                } else {
                    // A section misspelt would stay off without a word.
                    throw new IOException("operator's file: " + name + " is unknown or of a wrong kind");
                }
            }
        }
        return new OperatorConfig(revision, mysql, store, dnsSd, databases);
    }

    /** Why a document can't be the configuration that a group keeps, or null: it has no store of its own. */
    public static String objection(byte[] document) {
        try {
            OperatorConfig config = read(document);
            if (config.store != null) {
                return "store: each member's own file has it";
            }
            if (config.dnsSd != null
                    && !config.dnsSd.resolver().matches("[0-9.]+:[0-9]{1,5}|\\[[0-9a-fA-F:.]+]:[0-9]{1,5}")) {
                return "dns_sd.resolver: " + config.dnsSd.resolver() + " is no literal address with a port";
            }
            return null;
        } catch (IOException e) {
            return String.valueOf(e.getMessage()).replace('\n', ' ');
        }
    }

    /**
     * Why a document can't follow the one that holds, or null: a change that running members could not act on before
     * their next start is turned down as it is put, with what to do.
     *
     * @param current null where none holds
     */
    public static String refusal(byte[] current, byte[] next) {
        if (current == null) {
            return null;
        }
        try {
            OperatorConfig before = read(current);
            OperatorConfig after = read(next);
            if ((before.dnsSd == null) != (after.dnsSd == null)) {
                return "dns_sd: members that run can't " + (after.dnsSd == null ? "leave DNS-SD" : "turn to DNS-SD")
                        + "; found a group with a configuration that " + (after.dnsSd == null ? "lacks it" : "has it");
            }
            if (before.mysql != null && after.mysql != null && before.mysql.nodePort != after.mysql.nodePort) {
                return "mysql.node_port is " + before.mysql.nodePort + " at members that run; " + after.mysql.nodePort
                        + " would hold from their next start only";
            }
            return null;
        } catch (IOException e) {
            return String.valueOf(e.getMessage()).replace('\n', ' ');
        }
    }

    /**
     * This file with what a group keeps in the place of its own parts: only what a majority has accepted is acted on.
     * The MySQL front is on only where this file says where it listens.
     *
     * @param document null where none was accepted yet
     */
    public OperatorConfig accepted(byte[] document) throws IOException {
        OperatorConfig other = document == null ? NONE : read(document);
        Mysql m = other.mysql;
        return new OperatorConfig(
                other.revision,
                m == null || mysql == null
                        ? null
                        : new Mysql(
                                mysql.listen, m.user, m.password, m.nodePort, m.nodeUser, m.nodePassword, m.database),
                store,
                other.dnsSd,
                other.databases);
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
        String cluster = "lupinvalve";
        String member = null;
        String folder = null;
        String listen = null;
        Tls tls = null;
        long wait = 0;
        Audit audit = Audit.OFF;
        Role role = Role.MEMBER;
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
                case "wait_for_majority_ms" -> wait = in.getValueAsLong(-1) * 1000;
                case "peers", "secret" -> throw new IOException("operator's file: store." + name
                        + " was the old store's; now store.members names all members, and store.tls guards them");
                default -> throw unknown("store", name);
            }
        }
        needed("store.name", member);
        needed("store.folder", folder);
        if (role == Role.SUBSCRIBER) {
            followsOnly(listen, wait);
        } else {
            needed("store.listen", listen);
        }
        if (!member.matches(NAME) || !cluster.matches(NAME)) {
            throw new IOException("operator's file: store.name and store.cluster are letters, digits, - and _: "
                    + member + ", " + cluster);
        }
        if (members.isEmpty() || members.size() > MEMBERS_MOST) {
            throw new IOException("operator's file: store.members names " + members.size() + " members; 1 to "
                    + MEMBERS_MOST + " are possible");
        }
        if (wait < 0 || wait > WAIT_MOST) {
            throw new IOException("operator's file: store.wait_for_majority_ms is " + wait / 1000 + "; 0 to "
                    + WAIT_MOST / 1000 + " are possible");
        }
        return new Store(cluster, member, Path.of(folder), listen, Map.copyOf(members), tls, wait, audit, role);
    }

    /** A subscriber takes no connections, and its sessions' commits reach no majority. */
    private static void followsOnly(String listen, long wait) throws IOException {
        if (listen != null) {
            throw new IOException("operator's file: store.listen is " + listen + "; a subscriber listens nowhere");
        }
        if (wait != 0) {
            throw new IOException("operator's file: store.wait_for_majority_ms is " + wait / 1000
                    + "; a subscriber tells the group of no commits");
        }
    }

    private static Role role(String text) throws IOException {
        return switch (text) {
            case "member" -> Role.MEMBER;
            case "subscriber" -> Role.SUBSCRIBER;
            default -> throw new IOException(
                    "operator's file: store.role is " + text + "; member and subscriber are possible");
        };
    }

    private static Audit audit(String text) throws IOException {
        return switch (text) {
            case "off" -> Audit.OFF;
            case "serve" -> Audit.SERVE;
            case "fence" -> Audit.FENCE;
            default -> throw new IOException(
                    "operator's file: store.audit is " + text + "; off, serve and fence are possible");
        };
    }

    private static void members(JsonParser in, Map<String, String> members) throws IOException {
        if (!in.hasToken(JsonToken.START_OBJECT)) {
            throw new IOException("operator's file: store.members is an object of names and addresses");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            String address = in.getValueAsString("");
            if (!name.matches(NAME) || !address.matches(".+:[0-9]{1,5}")) {
                throw new IOException("operator's file: store.members." + name + " is " + address + ", no address");
            }
            members.put(name, address);
        }
    }

    private static Tls tls(JsonParser in) throws IOException {
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
            needed("store.tls." + name, files.containsKey(name) ? "" : null);
        }
        return new Tls(files.get("authority"), files.get("certificate"), files.get("key"));
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
