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

/** A client that writes its packets by itself, so that it can send several commands at once. */
final class RawMysqlClient implements Closeable {
    private static final int GREETING_NONCE = 1 + 4, SECOND_NONCE = 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10;
    private static final int ANSWER_BEGINS = 1;
    private final Socket socket;
    private final DataInputStream in;
    private int sequence;

    RawMysqlClient(InetSocketAddress address, String user, String password) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(10_000);
        in = new DataInputStream(socket.getInputStream());
        byte[] greeting = packet();
        int version = 1;
        while (greeting[version] != 0) {
            version++;
        }
        int at = version + GREETING_NONCE;
        byte[] nonce = Arrays.copyOf(Arrays.copyOfRange(greeting, at, at + 8), MysqlClient.NONCE_BYTES);
        System.arraycopy(greeting, at + SECOND_NONCE, nonce, 8, nonce.length - 8);
        byte[] proof = Protocol.scramble(Protocol.NATIVE, password, nonce);
        socket.getOutputStream()
                .write(new Out()
                        .fixed(Protocol.PROTOCOL_41 | Protocol.SECURE_CONNECTION | Protocol.PLUGIN_AUTH, 4)
                        .fixed(0, 4)
                        .raw(new byte[24])
                        .zero(user)
                        .int1(proof.length)
                        .raw(proof)
                        .zero(Protocol.NATIVE)
                        .packet(1));
        if (packet()[0] != 0) {
            throw new IOException("not let in");
        }
    }

    static byte[] command(int kind, String text) {
        return new Out().int1(kind).raw(text.getBytes(UTF_8)).packet(0);
    }

    /** Writes all of them at once. */
    void send(byte[]... commands) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (byte[] command : commands) {
            bytes.write(command);
        }
        socket.getOutputStream().write(bytes.toByteArray());
    }

    private byte[] packet() throws IOException {
        int length = in.readUnsignedByte() | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        sequence = in.readUnsignedByte();
        return in.readNBytes(length);
    }

    /**
     * What the next so many answers begin with: "ok", "rows" or an error's code; "end" where the connection ends first.
     */
    List<String> answers(int count) throws IOException {
        List<String> answers = new ArrayList<>();
        while (true) {
            byte[] packet;
            try {
                packet = packet();
            } catch (java.io.EOFException e) {
                answers.add("end");
                return answers;
            }
            if (sequence == ANSWER_BEGINS) {
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
