package lupinvalve.mysql;

import java.util.ArrayDeque;
import lupinvalve.net.Link;

/** One client's connection: how far its login is, its prepared statements, and its commands that wait their turn. */
final class MysqlClient {
    /** Length of the random bytes with which a client proves its password. */
    static final int NONCE_BYTES = 20;

    /** How far a login is. */
    enum Phase {
        /** The client's first packet is due. */
        LOGIN,
        /** The client was told to prove its password by another method. */
        METHOD_SWITCHED,
        /** Commands may come. */
        READY
    }

    /**
     * A command that waits its turn.
     *
     * @param packet null for one that is refused when its turn comes, as too many wait
     */
    record Command(byte[] packet, long atMicros) {
        private static final Command REFUSED = new Command(null, 0);

        /** One too many: all that is kept of it is that an answer is due. */
        static Command refused() {
            return REFUSED;
        }

        boolean isRefused() {
            return packet == null;
        }

        /** Bytes that it takes while it waits. */
        int size() {
            return packet == null ? 0 : packet.length;
        }
    }

    final Link link;
    final byte[] nonce = new byte[NONCE_BYTES];
    final PreparedStatements prepared = new PreparedStatements(this);
    final ArrayDeque<Command> waiting = new ArrayDeque<>();
    /** The number by which the front and the pooler know the connection. */
    long slot;

    Phase phase = Phase.LOGIN;
    long capabilities;
    /** Whether a request of this client is open at the pooler. */
    boolean busy;
    /**
     * Why nothing more that it sends can be read; null where it can. The connection ends once all before that is
     * answered.
     */
    String fault;
    /** Whether it is looked at again in a moment, as clients are sent away. */
    boolean parts;
    /** The pooler's handle of that request, or -1. */
    long request = -1;

    MysqlClient(Link link) {
        this.link = link;
    }

    /** Whether an answer is due, so that a further command waits. */
    boolean waits() {
        return busy || !waiting.isEmpty();
    }

    /** Whether both sides have a capability. */
    boolean has(int capability) {
        return (capabilities & capability) != 0;
    }

    /** Answers a command with a plain OK. */
    void ok() {
        link.write(Protocol.Ok.PLAIN.packet(0, capabilities, 1));
    }

    /** Answers a command with an error. */
    void error(int code, String state, String text) {
        link.write(Protocol.error(1, code, state, text));
    }

    /** Passes an answer of a db node on, as this client reads it. */
    void answer(MysqlRequest.Answer answer) {
        // One write: an answer in many small segments costs a small machine more than its bytes do.
        link.write(answer.packets(has(Protocol.DEPRECATE_EOF), capabilities));
    }
}
