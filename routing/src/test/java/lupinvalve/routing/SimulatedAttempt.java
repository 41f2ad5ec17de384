package lupinvalve.routing;

/** An attempt sent to one process of a simulated server; a restart of the server starts a new process. */
final class SimulatedAttempt {
    final SimulatedRequest request;
    final int number;
    final SimulatedServer server;
    /** The number of the server's process that the attempt was sent to. */
    final int incarnation;
    /** When it was sent, in microseconds. */
    final long sent;

    boolean ended;

    SimulatedAttempt(SimulatedRequest request, int number, SimulatedServer server, long sent) {
        this.request = request;
        this.number = number;
        this.server = server;
        this.sent = sent;
        incarnation = server.incarnation();
    }
}
