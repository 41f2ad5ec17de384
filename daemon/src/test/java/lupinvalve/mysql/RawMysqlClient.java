package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A client on a plain socket, which can send several commands in one write. */
final class RawMysqlClient implements Closeable {
    /** Bytes in the handshake from the end of the server version to the first part of the nonce. */
    private static final int FIRST_NONCE_OFFSET = 1 + 4;
    /** Bytes in the handshake from the first part of the nonce to the second. */
    private static final int SECOND_NONCE_OFFSET = 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10;
    /** Sequence number of the first packet of each answer. */
    private static final int FIRST_SEQUENCE = 1;

    private final Socket socket;
    private final DataInputStream in;
    private int sequence;

    RawMysqlClient(InetSocketAddress address, String user, String password) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        byte[] handshake = readPacket();
        int versionEnd = 1;
        while (handshake[versionEnd] != 0) {
            versionEnd++;
        }
        int nonceStart = versionEnd + FIRST_NONCE_OFFSET;
        byte[] nonce =
                Arrays.copyOf(Arrays.copyOfRange(handshake, nonceStart, nonceStart + 8), MysqlClient.NONCE_BYTES);
        System.arraycopy(handshake, nonceStart + SECOND_NONCE_OFFSET, nonce, 8, nonce.length - 8);
        byte[] authResponse = Protocol.scramble(Protocol.NATIVE_PASSWORD, password, nonce);
        socket.getOutputStream()
                .write(new PacketWriter()
                        .fixedInt(Protocol.PROTOCOL_41 | Protocol.SECURE_CONNECTION | Protocol.PLUGIN_AUTH, 4)
                        .fixedInt(0, 4)
                        .raw(new byte[24])
                        .nulTerminated(user)
                        .int1(authResponse.length)
                        .raw(authResponse)
                        .nulTerminated(Protocol.NATIVE_PASSWORD)
                        .packet(1));
        if (readPacket()[0] != 0) {
            throw new IOException("login failed");
        }
    }

    /** The packet of a command, such as {@link Protocol#COM_QUERY}, with its text. */
    static byte[] command(int code, String text) {
        return new PacketWriter().int1(code).raw(text.getBytes(UTF_8)).packet(0);
    }

    /** Encodes COM_STMT_SEND_LONG_DATA for the second placeholder of a statement. */
    static byte[] longData(long statement, byte[] value) {
        return new PacketWriter()
                .int1(Protocol.COM_STMT_SEND_LONG_DATA)
                .fixedInt(statement, 4)
                .fixedInt(1, 2)
                .raw(value)
                .packet(0);
    }

    /** Encodes COM_STMT_EXECUTE of a statement with two placeholders, of which the second was sent as long data. */
    static byte[] execute(long statement, String first) {
        return new PacketWriter()
                .int1(Protocol.COM_STMT_EXECUTE)
                .fixedInt(statement, 4)
                .int1(0)
                .fixedInt(1, 4)
                .int1(0)
                .int1(1)
                .fixedInt(Params.STRING, 2)
                .fixedInt(Params.STRING, 2)
                .lengthEncoded(first)
                .packet(0);
    }

    /** Encodes COM_STMT_CLOSE. */
    static byte[] close(long statement) {
        return new PacketWriter()
                .int1(Protocol.COM_STMT_CLOSE)
                .fixedInt(statement, 4)
                .packet(0);
    }

    /** Sends all commands in one write. */
    void send(byte[]... commands) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (byte[] command : commands) {
            bytes.write(command);
        }
        socket.getOutputStream().write(bytes.toByteArray());
    }

    /** Reads a packet; returns its payload and keeps its sequence number. */
    private byte[] readPacket() throws IOException {
        int length = in.readUnsignedByte() | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        sequence = in.readUnsignedByte();
        return in.readNBytes(length);
    }

    /**
     * Reads the next {@code count} answers; gives "ok", "rows" or the error code for each, and "end" where the
     * connection is closed first.
     */
    List<String> answers(int count) throws IOException {
        List<String> answers = new ArrayList<>();
        while (true) {
            byte[] packet;
            try {
                packet = readPacket();
            } catch (java.io.EOFException e) {
                answers.add("end");
                return answers;
            }
            if (sequence == FIRST_SEQUENCE) {
                int code = packet[0] & 255;
                answers.add(
                        code == 0
                                ? "ok"
                                : code == 255 ? Integer.toString(packet[1] & 255 | (packet[2] & 255) << 8) : "rows");
            }
            if (answers.size() == count && (packet[0] & 255) >= 254
                    || answers.size() == count && answers.get(count - 1).equals("ok")) {
                return answers;
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
