package lupinvalve.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operator's file: what is off on the platform. Each part may be absent (null). Immutable.
 *
 * @param revision of two versions of the shared parts, the one with the higher revision holds everywhere
 * @param databases that the installation serves; empty where they are not named
 */
public record OperatorConfig(long revision, Mysql mysql, Store store, DnsSd dnsSd, List<Database> databases) {
    /** Without databases. */
    public OperatorConfig(long revision, Mysql mysql, Store store, DnsSd dnsSd) {
        this(revision, mysql, store, dnsSd, List.of());
    }

    /** The MySQL frontend and how db nodes are reached over that protocol. */
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
        /** A member without audit. */
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

    /** How a pooler takes part in the group. */
    public enum Role {
        /** Keeps the log and may vote. */
        MEMBER,
        /** Follows what members have accepted. */
        SUBSCRIBER
    }

    /** Whether a member keeps audit entries of what it acts on under a lease, and what it does without one. */
    public enum Audit {
        /** Neither entries nor a lease. */
        OFF,
        /** Serves on without a lease. */
        SERVE,
        /** Rejects requests without a lease. */
        FENCE
    }

    /** PEM files: who signs members' certificates, this member's own and its key. */
    public record Tls(Path authority, Path certificate, Path key) {}

    /** Db nodes from DNS-SD instead of the platform's list. */
    public record DnsSd(String resolver, String service, long pollMicros) {}

    /** Nothing turned on, as on the platform. */
    public static final OperatorConfig NONE = new OperatorConfig(0, null, null, null);

    /**
     * Parses a file or a document.
     *
     * @throws ConfigException where a section or field is unknown, missing or has an impossible value
     * @throws IOException where it is no JSON
     */
    public static OperatorConfig read(byte[] json) throws IOException {
        return OperatorConfigParser.parse(json);
    }

    /** Why a document can't be the configuration that a group keeps; empty where it can. It has no store of its own. */
    public static Optional<String> validationError(byte[] document) {
        try {
            OperatorConfig config = read(document);
            if (config.store != null) {
                return Optional.of("store: each member's own file has it");
            }
            if (config.dnsSd != null
                    && !config.dnsSd.resolver().matches("[0-9.]+:[0-9]{1,5}|\\[[0-9a-fA-F:.]+]:[0-9]{1,5}")) {
                return Optional.of(
                        "dns_sd.resolver: " + config.dnsSd.resolver() + " is no literal address with a port");
            }
            return Optional.empty();
        } catch (IOException e) {
            return Optional.of(oneLine(e));
        }
    }

    /**
     * Why a document can't follow the one in force; empty where it can. A change that running members could not act on
     * before their next start is rejected as it is proposed, with what to do.
     *
     * @param current null where none is in force
     */
    public static Optional<String> changeRejection(byte[] current, byte[] next) {
        if (current == null) {
            return Optional.empty();
        }
        try {
            return changeRejection(read(current), read(next));
        } catch (IOException e) {
            return Optional.of(oneLine(e));
        }
    }

    private static Optional<String> changeRejection(OperatorConfig before, OperatorConfig after) {
        if ((before.dnsSd == null) != (after.dnsSd == null)) {
            return Optional.of("dns_sd: members that run can't "
                    + (after.dnsSd == null ? "leave DNS-SD" : "turn to DNS-SD")
                    + "; found a group with a configuration that " + (after.dnsSd == null ? "lacks it" : "has it"));
        }
        if (before.mysql != null && after.mysql != null && before.mysql.nodePort != after.mysql.nodePort) {
            return Optional.of("mysql.node_port is " + before.mysql.nodePort + " at members that run; "
                    + after.mysql.nodePort + " would hold from their next start only");
        }
        return Optional.empty();
    }

    private static String oneLine(IOException failure) {
        return String.valueOf(failure.getMessage()).replace('\n', ' ');
    }

    /**
     * This file with what a group keeps in the place of its own parts: only what a majority has accepted is acted on.
     * The MySQL frontend is on only where this file says where it listens.
     *
     * @param document null where none was accepted yet
     */
    public OperatorConfig accepted(byte[] document) throws IOException {
        OperatorConfig accepted = document == null ? NONE : read(document);
        Mysql shared = accepted.mysql;
        Mysql merged = shared == null || mysql == null
                ? null
                : new Mysql(
                        mysql.listen,
                        shared.user,
                        shared.password,
                        shared.nodePort,
                        shared.nodeUser,
                        shared.nodePassword,
                        shared.database);
        return new OperatorConfig(accepted.revision, merged, store, accepted.dnsSd, accepted.databases);
    }
}
