package lupinvalve.mysql;

import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import lupinvalve.net.Framer;

/** Greets clients and checks that they know the one account's name and password. */
final class MysqlLogin {
    private static final long OFFERED = Protocol.LONG_PASSWORD
            | Protocol.FOUND_ROWS
            | Protocol.CONNECT_WITH_DB
            | Protocol.PROTOCOL_41
            | Protocol.TRANSACTIONS
            | Protocol.SECURE_CONNECTION
            | Protocol.PLUGIN_AUTH
            | Protocol.LENENC_AUTH
            | Protocol.SESSION_TRACK
            | Protocol.DEPRECATE_EOF
            | Protocol.QUERY_ATTRIBUTES;
    private static final String VERSION = "8.0.0-lupinvalve";
    private static final int PROTOCOL_VERSION = 10;
    private static final int UTF8MB4 = 45;
    /** Bytes of the nonce in the first part of the greeting. */
    private static final int NONCE_FIRST = 8;

    private static final int ACCESS_DENIED = 1045;
    private final SecureRandom random = new SecureRandom();
    private String user;
    private String password;

    MysqlLogin(String user, String password) {
        account(user, password);
    }

    /** Changes the account; those logged in stay. */
    void account(String newUser, String newPassword) {
        user = newUser;
        password = newPassword;
    }

    /** Sends the greeting, with a fresh nonce. */
    void greet(MysqlClient client) {
        random.nextBytes(client.nonce);
        for (int i = 0; i < client.nonce.length; i++) {
            // Clients read it as text: no zero byte may end it early.
            client.nonce[i] = (byte) (client.nonce[i] & 63 | 64);
        }
        byte[] first = Arrays.copyOf(client.nonce, NONCE_FIRST);
        byte[] second = Arrays.copyOfRange(client.nonce, NONCE_FIRST, client.nonce.length);
        client.link.write(new Out()
                .int1(PROTOCOL_VERSION)
                .zero(VERSION)
                .fixed(client.slot, 4)
                .raw(first)
                .int1(0)
                .fixed(OFFERED & 0xFFFF, 2)
                .int1(UTF8MB4)
                .fixed(Protocol.STATUS_AUTOCOMMIT, 2)
                .fixed(OFFERED >> 16, 2)
                .int1(client.nonce.length + 1)
                .raw(new byte[10])
                .raw(second)
                .int1(0)
                .zero(Protocol.SHA2)
                .packet(0));
    }

    /** Takes a packet of a login; false where the client was turned down and its connection is to end. */
    boolean take(MysqlClient client, byte[] packet) throws Framer.Malformed {
        In in = new In(packet);
        int sequence = packet[3] + 1;
        if (client.phase == MysqlClient.Phase.METHOD_SWITCHED) {
            return prove(client, Protocol.SHA2, in.rest(), sequence);
        }
        client.capabilities = in.fixed(4) & OFFERED;
        in.fixed(4);
        in.raw(24);
        String name = in.zero();
        byte[] proof = client.has(Protocol.LENENC_AUTH) ? in.counted() : in.raw(in.int1());
        if (client.has(Protocol.CONNECT_WITH_DB)) {
            in.zero();
        }
        String method = client.has(Protocol.PLUGIN_AUTH) ? in.zero() : Protocol.NATIVE;
        if (!client.has(Protocol.PROTOCOL_41)) {
            throw new Framer.Malformed("protocol 4.1 only");
        }
        if (!name.equals(user)) {
            return deny(client, sequence);
        }
        if (method.equals(Protocol.NATIVE) || method.equals(Protocol.SHA2)) {
            return prove(client, method, proof, sequence);
        }
        client.phase = MysqlClient.Phase.METHOD_SWITCHED;
        client.link.write(new Out()
                .int1(0xFE)
                .zero(Protocol.SHA2)
                .raw(client.nonce)
                .int1(0)
                .packet(sequence));
        return true;
    }

    private boolean prove(MysqlClient client, String method, byte[] proof, int sequence) {
        byte[] given = proof.length == 1 && proof[0] == 0 ? new byte[0] : proof;
        if (!MessageDigest.isEqual(given, Protocol.scramble(method, password, client.nonce))) {
            return deny(client, sequence);
        }
        int next = sequence;
        if (method.equals(Protocol.SHA2) && !password.isEmpty()) {
            client.link.write(new Out().int1(1).int1(3).packet(next++));
        }
        client.phase = MysqlClient.Phase.READY;
        client.link.write(Protocol.Ok.PLAIN.packet(0, client.capabilities, next));
        return true;
    }

    private boolean deny(MysqlClient client, int sequence) {
        client.link.write(Protocol.error(sequence, ACCESS_DENIED, "28000", "Access denied"));
        return false;
    }
}
