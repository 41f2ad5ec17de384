package lupinvalve.routing;

/** An attempt at one process of a server. */
final class SimulatedAttempt {
    final SimulatedRequest request;
    final int number;
    final SimulatedServer server;
    final int incarnation;
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
