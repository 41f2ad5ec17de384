package lupinvalve.mysql;

import java.util.ArrayDeque;
import lupinvalve.net.Link;

/**
 * One client's connection: the state of its login, its prepared statements and its waiting commands. Core thread only.
 */
final class MysqlClient {
    /** Length of the random bytes that the server sends and the client scrambles its password with. */
    static final int NONCE_BYTES = 20;

    /** The error code for a request that has not run. */
    static final int REQUEST_REJECTED = 1226;
    /** A client that reads its answers at once has no more than this unread. */
    private static final long PROMPT_UNREAD_BYTES = 64 << 10;

    /** The state of the login. */
    enum Phase {
        /** The handshake has been sent; the client's handshake response is expected. */
        LOGIN,
        /** An AuthSwitchRequest has been sent, as the client offered an unknown plugin; its answer is expected. */
        AUTH_SWITCH_REQUESTED,
        /** The client is logged in and may send commands. */
        READY
    }

    /**
     * A command that waits until those before it have been answered.
     *
     * @param packet null for a command that is to be rejected when its turn comes, as too many wait
     */
    record Command(byte[] packet, long atMicros) {
        private static final Command REJECTED = new Command(null, 0);

        /** A command beyond the limit: nothing is kept but that it must be answered. */
        static Command rejected() {
            return REJECTED;
        }

        boolean isRejected() {
            return packet == null;
        }

        /** Bytes of memory that the command takes while it waits. */
        int size() {
            return packet == null ? 0 : packet.length;
        }
    }

    final Link link;
    final byte[] nonce = new byte[NONCE_BYTES];
    final PreparedStatements preparedStatements = new PreparedStatements(this);
    final ArrayDeque<Command> waitingCommands = new ArrayDeque<>();
    /** Handle in the frontend's table of clients; also the ticket under which the client's requests are submitted. */
    long handle;

    Phase phase = Phase.LOGIN;
    long capabilities;
    /** Whether a request of this client is open at the pooler. */
    boolean hasOpenRequest;
    /**
     * How the client violated the protocol, so that nothing more can be read from it; null where it has not. The
     * connection ends once all commands before that have been answered.
     */
    String protocolError;
    /** Whether another attempt to close the connection is scheduled, as clients are being drained. */
    boolean isCloseScheduled;
    /** The pooler's handle of the open request, or -1. */
    long requestHandle = -1;

    MysqlClient(Link link) {
        this.link = link;
    }

    /** Whether an answer is pending, so that a further command must wait. */
    boolean isAnswerPending() {
        return hasOpenRequest || !waitingCommands.isEmpty();
    }

    /** Whether the client has answers unread. */
    boolean hasUnreadAnswers() {
        return link.pendingWriteBytes() > PROMPT_UNREAD_BYTES;
    }

    /** Whether both sides have a capability. */
    boolean hasCapability(int capability) {
        return (capabilities & capability) != 0;
    }

    /** Answers a command with an OK packet. */
    void ok() {
        link.write(Protocol.Ok.PLAIN.packet(0, capabilities, 1));
    }

    /** Answers a command with an ERR packet. */
    void error(int code, String state, String text) {
        link.write(Protocol.error(1, code, state, text));
    }

    /** Answers a request that has not run; the client may repeat it after this time. */
    void refused(long retryAfterMicros) {
        error(
                REQUEST_REJECTED,
                "42000",
                "refused: a repeat does no harm; retry after " + (retryAfterMicros + 999) / 1000 + " ms");
    }

    /** Forwards a db node's answer, adapted to this client's capabilities. */
    void answer(MysqlRequest.Answer answer) {
        // In one write: on a small machine, many small segments cost more CPU time than the bytes themselves.
        link.write(answer.packets(hasCapability(Protocol.DEPRECATE_EOF), capabilities));
    }
}
