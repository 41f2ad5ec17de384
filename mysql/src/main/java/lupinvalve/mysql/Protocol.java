package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;

/** What both sides of MySQL's protocol share: numbers, OK and ERR packets, passwords. */
final class Protocol {
    static final int LONG_PASSWORD = 1,
            FOUND_ROWS = 2,
            CONNECT_WITH_DB = 8,
            PROTOCOL_41 = 0x200,
            TRANSACTIONS = 0x2000,
            SECURE_CONNECTION = 0x8000,
            PLUGIN_AUTH = 0x80000,
            LENENC_AUTH = 0x200000,
            SESSION_TRACK = 0x800000,
            DEPRECATE_EOF = 0x1000000,
            QUERY_ATTRIBUTES = 0x8000000;
    static final int COM_QUIT = 1,
            COM_INIT_DB = 2,
            COM_QUERY = 3,
            COM_PING = 14,
            COM_PREPARE = 22,
            COM_EXECUTE = 23,
            COM_LONG_DATA = 24,
            COM_CLOSE = 25,
            COM_RESET = 26,
            COM_RESET_CONNECTION = 31;
    static final int STATUS_AUTOCOMMIT = 2, STATUS_MORE = 8, STATUS_STATE_CHANGED = 0x4000;
    /** Flag of an execute: the count of its parameters, query attributes among them, is told. */
    static final int COUNT_TOLD = 8;

    static final String NATIVE = "mysql_native_password", SHA2 = "caching_sha2_password";
    /** The tracked variables that tell a db node's position, in Unix milliseconds, and its role. */
    static final String AS_OF = "as_of", RANK = "rank";

    private Protocol() {}

    static byte[] error(int sequence, int code, String state, String message) {
        return new Out()
                .int1(0xFF)
                .fixed(code, 2)
                .text("#")
                .text(state)
                .text(message)
                .packet(sequence);
    }

    /** One tracked variable and its value. */
    record Tracked(String name, String value) {}

    /** An OK packet's content; {@code tracked} holds system variables only. */
    record Ok(long affected, long insertId, int status, int warnings, byte[] info, List<Tracked> tracked) {
        static final Ok PLAIN = new Ok(0, 0, STATUS_AUTOCOMMIT, 0, new byte[0], List.of());

        /** Reads an OK from a peer that tracks session state. */
        static Ok read(In in) throws lupinvalve.net.Framer.Malformed {
            in.int1();
            long affected = in.lenenc();
            long insertId = in.lenenc();
            int status = (int) in.fixed(2);
            int warnings = (int) in.fixed(2);
            byte[] info = in.left() > 0 ? in.counted() : new byte[0];
            List<Tracked> tracked = new ArrayList<>();
            if ((status & STATUS_STATE_CHANGED) != 0 && in.left() > 0) {
                In states = new In(new Out().fixed(0, 4).raw(in.counted()).payload());
                while (states.left() > 0) {
                    int type = states.int1();
                    In entry =
                            new In(new Out().fixed(0, 4).raw(states.counted()).payload());
                    while (type == 0 && entry.left() > 0) {
                        tracked.add(new Tracked(entry.countedText(), entry.countedText()));
                    }
                }
            }
            if (in.left() > 0) {
                throw new lupinvalve.net.Framer.Malformed("OK packet's length");
            }
            return new Ok(affected, insertId, status, warnings, info, tracked);
        }

        /** The packet as a peer with the given capabilities reads it. */
        byte[] packet(int header, long capabilities, int sequence) {
            boolean tracks = (capabilities & SESSION_TRACK) != 0;
            boolean changed = tracks && !tracked.isEmpty();
            Out out = new Out()
                    .int1(header)
                    .lenenc(affected)
                    .lenenc(insertId)
                    .fixed(changed ? status | STATUS_STATE_CHANGED : status & ~STATUS_STATE_CHANGED, 2)
                    .fixed(warnings, 2);
            if (!tracks) {
                return out.raw(info).packet(sequence);
            }
            if (info.length > 0 || changed) {
                out.counted(info);
            }
            if (changed) {
                Out states = new Out();
                for (Tracked t : tracked) {
                    states.int1(0)
                            .counted(new Out()
                                    .counted(t.name())
                                    .counted(t.value())
                                    .payload());
                }
                out.counted(states.payload());
            }
            return out.packet(sequence);
        }

        String tracked(String name) {
            return tracked.stream()
                    .filter(t -> t.name().equals(name))
                    .map(Tracked::value)
                    .findFirst()
                    .orElse(null);
        }
    }

    static byte[] eof(int status, int sequence) {
        return new Out()
                .int1(0xFE)
                .fixed(0, 2)
                .fixed(status & ~STATUS_STATE_CHANGED, 2)
                .packet(sequence);
    }

    /** What a client proves that it knows a password with, or null for an unknown method. */
    static byte[] scramble(String plugin, String password, byte[] nonce) {
        if (password.isEmpty()) {
            return new byte[0];
        }
        byte[] secret = password.getBytes(UTF_8);
        if (plugin.equals(NATIVE)) {
            byte[] once = digest("SHA-1", secret);
            return xor(once, digest("SHA-1", nonce, digest("SHA-1", once)));
        }
        if (plugin.equals(SHA2)) {
            byte[] once = digest("SHA-256", secret);
            return xor(once, digest("SHA-256", digest("SHA-256", once), nonce));
        }
        return null;
    }

    static byte[] xor(byte[] a, byte[] b) {
        byte[] out = new byte[a.length];
        for (int i = 0; i < a.length; i++) {
            out[i] = (byte) (a[i] ^ b[i % b.length]);
        }
        return out;
    }

    private static byte[] digest(String method, byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance(method);
            for (byte[] part : parts) {
                digest.update(part);
            }
            return digest.digest();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
