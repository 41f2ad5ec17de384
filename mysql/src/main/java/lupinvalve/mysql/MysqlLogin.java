package lupinvalve.mysql;

import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import lupinvalve.net.Framer;

/**
 * Connection phase of clients: sends the handshake, and checks the user name and password against the one account.
 * Clients of an unknown authentication plugin are switched to caching_sha2_password. Core thread only.
 */
final class MysqlLogin {
    private static final long OFFERED_CAPABILITIES = Protocol.LONG_PASSWORD
            | Protocol.FOUND_ROWS
            | Protocol.CONNECT_WITH_DB
            | Protocol.PROTOCOL_41
            | Protocol.TRANSACTIONS
            | Protocol.SECURE_CONNECTION
            | Protocol.PLUGIN_AUTH
            | Protocol.PLUGIN_AUTH_LENENC_CLIENT_DATA
            | Protocol.SESSION_TRACK
            | Protocol.DEPRECATE_EOF
            | Protocol.QUERY_ATTRIBUTES;
    private static final String VERSION = "8.0.0-lupinvalve";
    private static final int PROTOCOL_VERSION = 10;
    private static final int UTF8MB4 = 45;
    /** Bytes of the nonce that stand in its first part in the handshake. */
    private static final int FIRST_NONCE_BYTES = 8;

    private static final int ACCESS_DENIED = 1045;
    private final SecureRandom random = new SecureRandom();
    private String user;
    private String password;

    MysqlLogin(String user, String password) {
        account(user, password);
    }

    /** Changes the account; clients that are logged in stay connected. */
    void account(String newUser, String newPassword) {
        user = newUser;
        password = newPassword;
    }

    /** Sends the handshake packet, with a new nonce. */
    void sendHandshake(MysqlClient client) {
        random.nextBytes(client.nonce);
        for (int i = 0; i < client.nonce.length; i++) {
            // Clients read the nonce as a string, so it must not contain the zero byte that terminates one.
            client.nonce[i] = (byte) (client.nonce[i] & 63 | 64);
        }
        byte[] first = Arrays.copyOf(client.nonce, FIRST_NONCE_BYTES);
        byte[] second = Arrays.copyOfRange(client.nonce, FIRST_NONCE_BYTES, client.nonce.length);
        client.link.write(new PacketWriter()
                .int1(PROTOCOL_VERSION)
                .nulTerminated(VERSION)
                .fixedInt(client.handle, 4)
                .raw(first)
                .int1(0)
                .fixedInt(OFFERED_CAPABILITIES & 0xFFFF, 2)
                .int1(UTF8MB4)
                .fixedInt(Protocol.STATUS_AUTOCOMMIT, 2)
                .fixedInt(OFFERED_CAPABILITIES >> 16, 2)
                .int1(client.nonce.length + 1)
                .raw(new byte[10])
                .raw(second)
                .int1(0)
                .nulTerminated(Protocol.CACHING_SHA2_PASSWORD)
                .packet(0));
    }

    /**
     * Takes a handshake response, or the answer to an AuthSwitchRequest.
     *
     * @return false where the client was denied access and its connection is to be closed
     */
    boolean takeResponse(MysqlClient client, byte[] packet) throws Framer.Malformed {
        PacketReader in = new PacketReader(packet);
        int sequence = packet[3] + 1;
        if (client.phase == MysqlClient.Phase.AUTH_SWITCH_REQUESTED) {
            return verify(client, Protocol.CACHING_SHA2_PASSWORD, in.rest(), sequence);
        }
        client.capabilities = in.fixedInt(4) & OFFERED_CAPABILITIES;
        in.fixedInt(4);
        in.raw(24);
        String name = in.nulTerminated();
        byte[] authResponse = client.hasCapability(Protocol.PLUGIN_AUTH_LENENC_CLIENT_DATA)
                ? in.lengthEncodedBytes()
                : in.raw(in.int1());
        if (client.hasCapability(Protocol.CONNECT_WITH_DB)) {
            in.nulTerminated();
        }
        String plugin = client.hasCapability(Protocol.PLUGIN_AUTH) ? in.nulTerminated() : Protocol.NATIVE_PASSWORD;
        if (!client.hasCapability(Protocol.PROTOCOL_41)) {
            throw new Framer.Malformed("protocol 4.1 only");
        }
        if (!name.equals(user)) {
            return deny(client, sequence);
        }
        if (plugin.equals(Protocol.NATIVE_PASSWORD) || plugin.equals(Protocol.CACHING_SHA2_PASSWORD)) {
            return verify(client, plugin, authResponse, sequence);
        }
        client.phase = MysqlClient.Phase.AUTH_SWITCH_REQUESTED;
        client.link.write(new PacketWriter()
                .int1(0xFE)
                .nulTerminated(Protocol.CACHING_SHA2_PASSWORD)
                .raw(client.nonce)
                .int1(0)
                .packet(sequence));
        return true;
    }

    /** Checks the scrambled password; a single zero byte stands for an empty password. */
    private boolean verify(MysqlClient client, String plugin, byte[] authResponse, int sequence) {
        byte[] scrambled = authResponse.length == 1 && authResponse[0] == 0 ? new byte[0] : authResponse;
        if (!MessageDigest.isEqual(scrambled, Protocol.scramble(plugin, password, client.nonce))) {
            return deny(client, sequence);
        }
        int nextSequence = sequence;
        if (plugin.equals(Protocol.CACHING_SHA2_PASSWORD) && !password.isEmpty()) {
            client.link.write(new PacketWriter().int1(1).int1(3).packet(nextSequence++));
        }
        client.phase = MysqlClient.Phase.READY;
        client.link.write(Protocol.Ok.PLAIN.packet(0, client.capabilities, nextSequence));
        return true;
    }

    /** Answers with ERR access denied; returns false for the caller to return. */
    private boolean deny(MysqlClient client, int sequence) {
        client.link.write(Protocol.error(sequence, ACCESS_DENIED, "28000", "Access denied"));
        return false;
    }
}
