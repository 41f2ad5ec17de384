package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;

/**
 * Constants of MySQL's protocol, and what its two sides have in common: OK, EOF and ERR packets, and password
 * scrambles.
 */
final class Protocol {
    static final int LONG_PASSWORD = 1;
    static final int FOUND_ROWS = 2;
    static final int CONNECT_WITH_DB = 8;
    static final int PROTOCOL_41 = 0x200;
    static final int TRANSACTIONS = 0x2000;
    static final int SECURE_CONNECTION = 0x8000;
    static final int PLUGIN_AUTH = 0x80000;
    static final int PLUGIN_AUTH_LENENC_CLIENT_DATA = 0x200000;
    static final int SESSION_TRACK = 0x800000;
    static final int DEPRECATE_EOF = 0x1000000;
    static final int QUERY_ATTRIBUTES = 0x8000000;
    static final int COM_QUIT = 1;
    static final int COM_INIT_DB = 2;
    static final int COM_QUERY = 3;
    static final int COM_PING = 14;
    static final int COM_STMT_PREPARE = 22;
    static final int COM_STMT_EXECUTE = 23;
    static final int COM_STMT_SEND_LONG_DATA = 24;
    static final int COM_STMT_CLOSE = 25;
    static final int COM_STMT_RESET = 26;
    static final int COM_RESET_CONNECTION = 31;
    static final int STATUS_AUTOCOMMIT = 2;
    static final int STATUS_MORE_RESULTS_EXIST = 8;
    static final int STATUS_SESSION_STATE_CHANGED = 0x4000;
    /** Flag of COM_STMT_EXECUTE: the packet holds the number of its parameters, query attributes included. */
    static final int PARAMETER_COUNT_AVAILABLE = 8;

    static final String NATIVE_PASSWORD = "mysql_native_password";
    static final String CACHING_SHA2_PASSWORD = "caching_sha2_password";
    /** The tracked system variable that holds a db node's log position, in milliseconds of Unix time. */
    static final String AS_OF = "as_of";
    /** The tracked system variable that holds a db node's role. */
    static final String RANK = "rank";

    private Protocol() {}

    /** An ERR packet. */
    static byte[] error(int sequence, int code, String state, String message) {
        return new PacketWriter()
                .int1(0xFF)
                .fixedInt(code, 2)
                .text("#")
                .text(state)
                .text(message)
                .packet(sequence);
    }

    /** A system variable that the session tracker reports, and its value. */
    record TrackedVariable(String name, String value) {}

    /** The content of an OK packet; of the session state changes, only system variables are kept. */
    record Ok(long affected, long insertId, int status, int warnings, byte[] info, List<TrackedVariable> tracked) {
        static final Ok PLAIN = new Ok(0, 0, STATUS_AUTOCOMMIT, 0, new byte[0], List.of());

        /** Reads an OK packet from a peer with the SESSION_TRACK capability. */
        static Ok read(PacketReader in) throws lupinvalve.net.Framer.Malformed {
            in.int1();
            long affected = in.lengthEncodedInt();
            long insertId = in.lengthEncodedInt();
            int status = (int) in.fixedInt(2);
            int warnings = (int) in.fixedInt(2);
            byte[] info = in.remaining() > 0 ? in.lengthEncodedBytes() : new byte[0];
            List<TrackedVariable> tracked = new ArrayList<>();
            if ((status & STATUS_SESSION_STATE_CHANGED) != 0 && in.remaining() > 0) {
                PacketReader states = new PacketReader(new PacketWriter()
                        .fixedInt(0, 4)
                        .raw(in.lengthEncodedBytes())
                        .payload());
                while (states.remaining() > 0) {
                    int type = states.int1();
                    PacketReader entry = new PacketReader(new PacketWriter()
                            .fixedInt(0, 4)
                            .raw(states.lengthEncodedBytes())
                            .payload());
                    while (type == 0 && entry.remaining() > 0) {
                        tracked.add(new TrackedVariable(entry.lengthEncodedText(), entry.lengthEncodedText()));
                    }
                }
            }
            if (in.remaining() > 0) {
                throw new lupinvalve.net.Framer.Malformed("bytes after the end of an OK packet");
            }
            return new Ok(affected, insertId, status, warnings, info, tracked);
        }

        /**
         * The packet for a peer with the given capabilities.
         *
         * @param header 0, or 0xFE where the packet ends a result set in place of an EOF packet
         */
        byte[] packet(int header, long capabilities, int sequence) {
            boolean tracksSession = (capabilities & SESSION_TRACK) != 0;
            boolean changed = tracksSession && !tracked.isEmpty();
            PacketWriter out = new PacketWriter()
                    .int1(header)
                    .lengthEncodedInt(affected)
                    .lengthEncodedInt(insertId)
                    .fixedInt(
                            changed ? status | STATUS_SESSION_STATE_CHANGED : status & ~STATUS_SESSION_STATE_CHANGED, 2)
                    .fixedInt(warnings, 2);
            if (!tracksSession) {
                return out.raw(info).packet(sequence);
            }
            if (info.length > 0 || changed) {
                out.lengthEncoded(info);
            }
            if (changed) {
                PacketWriter states = new PacketWriter();
                for (TrackedVariable variable : tracked) {
                    states.int1(0)
                            .lengthEncoded(new PacketWriter()
                                    .lengthEncoded(variable.name())
                                    .lengthEncoded(variable.value())
                                    .payload());
                }
                out.lengthEncoded(states.payload());
            }
            return out.packet(sequence);
        }

        /** The reported value of a system variable, or null where the packet has none. */
        String trackedValue(String name) {
            return tracked.stream()
                    .filter(variable -> variable.name().equals(name))
                    .map(TrackedVariable::value)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** An EOF packet. */
    static byte[] eof(int status, int sequence) {
        return new PacketWriter()
                .int1(0xFE)
                .fixedInt(0, 2)
                .fixedInt(status & ~STATUS_SESSION_STATE_CHANGED, 2)
                .packet(sequence);
    }

    /**
     * The authentication response by which a client proves that it knows a password.
     *
     * @param nonce the random bytes that the server sent
     * @return null for an unknown plugin
     */
    static byte[] scramble(String plugin, String password, byte[] nonce) {
        if (password.isEmpty()) {
            return new byte[0];
        }
        byte[] secret = password.getBytes(UTF_8);
        if (plugin.equals(NATIVE_PASSWORD)) {
            byte[] hash = digest("SHA-1", secret);
            return xor(hash, digest("SHA-1", nonce, digest("SHA-1", hash)));
        }
        if (plugin.equals(CACHING_SHA2_PASSWORD)) {
            byte[] hash = digest("SHA-256", secret);
            return xor(hash, digest("SHA-256", digest("SHA-256", hash), nonce));
        }
        return null;
    }

    /** XORs bytes with a mask, which is repeated where it is shorter. */
    static byte[] xor(byte[] bytes, byte[] mask) {
        byte[] out = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            out[i] = (byte) (bytes[i] ^ mask[i % mask.length]);
        }
        return out;
    }

    private static byte[] digest(String algorithm, byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance(algorithm);
            for (byte[] part : parts) {
                digest.update(part);
            }
            return digest.digest();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
