package lupinvalve.mysql;

import java.util.ArrayDeque;
import lupinvalve.maintenance.ByteBudget;
import lupinvalve.net.Link;

/**
 * One client's connection: the state of its login, its prepared statements and its waiting commands. Core thread only.
 */
final class MysqlClient {
    /** Length of the random bytes that the server sends and the client scrambles its password with. */
    static final int NONCE_BYTES = 20;

    /** With this many answers due to rejected commands, reading pauses. */
    private static final int MAX_REJECTED_ANSWERS = 1024;

    /** The error code for a request that has not run. */
    static final int REQUEST_REJECTED = 1226;

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
     * What waits until the commands before it have been answered: a command, or a run of commands beyond the limit.
     *
     * @param packet the command; null for a run of rejected ones
     * @param startByMicros until when it has to start, in Unix microseconds
     * @param rejected the run; null for a command
     */
    record Command(byte[] packet, long atMicros, long startByMicros, RejectedCommands rejected) {
        /** Memory of a waiting command beside its bytes. */
        private static final int OVERHEAD_BYTES = 128;

        /** Bytes of memory that a command takes while it waits. */
        static int memoryBytes(byte[] packet) {
            return packet.length + OVERHEAD_BYTES;
        }

        boolean isRejected() {
            return rejected != null;
        }

        int memoryBytes() {
            return isRejected() ? 0 : memoryBytes(packet);
        }

        /** Answers that are due to it. */
        int answersDue() {
            return isRejected() ? rejected.answersDue() : RejectedCommands.hasAnswer(packet) ? 1 : 0;
        }
    }

    final Link link;
    final byte[] nonce = new byte[NONCE_BYTES];
    final PreparedStatements preparedStatements;
    final ArrayDeque<Command> waitingCommands = new ArrayDeque<>();
    /** Memory of the commands that wait. */
    long waitingBytes;
    /** Handle in the frontend's table of clients; also the ticket under which the client's requests are submitted. */
    long handle;

    Phase phase = Phase.LOGIN;
    long capabilities;
    /** Whether a request of this client is open at the pooler. */
    boolean hasOpenRequest;
    /** Bytes that the open request counts towards the memory for commands. */
    long openRequestBytes;
    /**
     * How the client violated the protocol, so that nothing more can be read from it; null where it has not. The
     * connection ends once all commands before that have been answered.
     */
    String protocolError;
    /** Whether another attempt to close the connection is scheduled, as clients are being drained. */
    boolean isCloseScheduled;
    /** The pooler's handle of the open request, or -1. */
    long requestHandle = -1;

    /** @param statementMemory memory for the prepared statements of all clients */
    MysqlClient(Link link, ByteBudget statementMemory) {
        this.link = link;
        preparedStatements = new PreparedStatements(this, statementMemory);
    }

    /** Adds a command to those that wait. */
    void addWaiting(byte[] packet, long atMicros, long startByMicros) {
        Command command = new Command(packet, atMicros, startByMicros, null);
        waitingCommands.add(command);
        waitingBytes += command.memoryBytes();
    }

    /** Until when the first of the waiting commands has to start, in Unix microseconds. */
    long startByMicros() {
        return waitingCommands.stream().mapToLong(Command::startByMicros).min().orElse(Long.MAX_VALUE);
    }

    /** Removes the next of the commands that wait. */
    void pollWaiting() {
        waitingBytes -= waitingCommands.poll().memoryBytes();
    }

    /** Removes all commands that wait. */
    void dropWaiting() {
        waitingCommands.clear();
        waitingBytes = 0;
    }

    /** Memory of its commands that are not answered yet. */
    long commandBytes() {
        return waitingBytes + openRequestBytes;
    }

    /** Bytes of answers that are kept, as it has not read those before them; 0 if it reads at once. */
    long unreadBytes() {
        return link.isPeerBehind() ? link.pendingWriteBytes() : 0;
    }

    /** Adds a command that is rejected when its turn comes; little more is kept of it than that it must be answered. */
    void addRejected(byte[] packet) {
        Command last = waitingCommands.peekLast();
        if (last == null || !last.isRejected()) {
            last = new Command(null, 0, Long.MAX_VALUE, new RejectedCommands());
            waitingCommands.add(last);
        }
        last.rejected().add(packet);
        if (last.rejected().answersDue() >= MAX_REJECTED_ANSWERS) {
            link.pauseReading(true);
        }
    }

    /** Answers that are due to the client. */
    int answersDue() {
        int waiting = waitingCommands.stream().mapToInt(Command::answersDue).sum();
        return waiting + (hasOpenRequest ? 1 : 0);
    }

    /** Whether commands wait or a request is open, so that a further command must wait. */
    boolean isAnswerPending() {
        return hasOpenRequest || !waitingCommands.isEmpty();
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
