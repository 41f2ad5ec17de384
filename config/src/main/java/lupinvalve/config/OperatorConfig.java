package lupinvalve.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The operator's configuration file, which turns on optional features. All of them are off on the hosting platform: it
 * starts the process with a configuration file of its own and gives no operator's file. Each section may be absent
 * (null). Immutable.
 *
 * @param revision version of the sections that a group shares; the higher of two revisions is in force
 * @param databases databases that the installation serves; empty if the file lists none
 */
public record OperatorConfig(long revision, Mysql mysql, Store store, DnsSd dnsSd, List<Database> databases) {
    /** A configuration without databases. */
    public OperatorConfig(long revision, Mysql mysql, Store store, DnsSd dnsSd) {
        this(revision, mysql, store, dnsSd, List.of());
    }

    /** The MySQL frontend, and the port and account for connecting to db nodes over MySQL. */
    public record Mysql(
            String listen,
            String user,
            String password,
            int nodePort,
            String nodeUser,
            String nodePassword,
            String database) {}

    /**
     * This pooler's membership of, or subscription to, the Raft group that stores the configuration.
     *
     * @param cluster name of the cluster; peers of another cluster are rejected
     * @param listen address on which this member listens, which it also advertises to the others; null for a subscriber
     * @param members addresses of the members by name, as reachable from this pooler: a member founds the group with
     *     them, a subscriber watches one of them
     * @param waitMicros how long the answer to a write waits until a majority has stored its session token; 0 for no
     *     wait
     * @param role whether this pooler is a member or a subscriber
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
        /** A member without an audit trail. */
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

        /** A subscriber. */
        public static Store subscriber(
                String cluster, String name, Path folder, Map<String, String> members, Tls tls, Audit audit) {
            return new Store(cluster, name, folder, null, members, tls, 0, audit, Role.SUBSCRIBER);
        }
    }

    /** How a pooler takes part in the group; the configuration file names it in lower case. */
    public enum Role {
        /** Replicates the Raft log and may vote. */
        MEMBER,
        /** Receives committed changes from a member; keeps no log and has no vote. */
        SUBSCRIBER
    }

    /**
     * Whether a pooler requests a lease from the group and writes audit entries of the configuration that it applies,
     * and what it does while it has no lease.
     */
    public enum Audit {
        /** Writes no audit entries and needs no lease. */
        OFF,
        /** Writes audit entries; continues to serve without a lease. */
        SERVE,
        /** Writes audit entries; rejects requests while it has no lease. */
        FENCE
    }

    /** PEM files: the certificate authority of the members, this pooler's certificate, and its private key. */
    public record Tls(Path authority, Path certificate, Path key) {}

    /** Discovery of db nodes by DNS-SD instead of the platform's discovery service. */
    public record DnsSd(String resolver, String service, long pollMicros) {}

    /** All optional features off, as on the hosting platform. */
    public static final OperatorConfig NONE = new OperatorConfig(0, null, null, null);

    /**
     * Parses an operator's file, or a document that a group stores.
     *
     * @throws ConfigException if a section or field is unknown, missing or has an invalid value
     * @throws IOException if the input is not JSON
     */
    public static OperatorConfig read(byte[] json) throws IOException {
        return OperatorConfigParser.parse(json);
    }

    /**
     * Why a document can't be the configuration that a group stores; empty if it can. Such a document has no
     * {@code store} section: each member's own file has that.
     */
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
     * Why a document can't replace the one in force; empty if it can. A change that running members could apply only at
     * their next start is rejected when it is proposed; the message says what to do instead.
     *
     * @param current the document in force, or null if there is none
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
        // Running members can't add or remove the dns_sd section; that takes the creation of a new group.
        if ((before.dnsSd == null) != (after.dnsSd == null)) {
            return Optional.of("dns_sd: members that run can't "
                    + (after.dnsSd == null ? "leave DNS-SD" : "turn to DNS-SD")
                    + "; found a group with a configuration that " + (after.dnsSd == null ? "lacks it" : "has it"));
        }
        // Rejected, as running members would use the new port only from their next start.
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
     * Returns this configuration with its shared sections replaced by the document that the group has accepted: only
     * what a majority has accepted takes effect. The MySQL frontend is on only if this file gives its listen address.
     *
     * @param document the accepted document, or null if none was accepted yet
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
