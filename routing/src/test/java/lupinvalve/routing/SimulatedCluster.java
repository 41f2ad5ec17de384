package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;
import static lupinvalve.routing.VirtualTime.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** The simulated servers in their groups, which of them are the primaries, and the faults injected into them. */
final class SimulatedCluster {
    final VirtualTime time;
    final SplittableRandom random;
    final RulesWorldSettings settings;
    private final BiConsumer<SimulatedAttempt, AttemptOutcome> onAttemptEnded;
    private final Consumer<SimulatedServer> onListChanged;
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<String, SimulatedServer> byId = new HashMap<>();
    private final SimulatedServer[] primaries;

    /**
     * Draws the servers of each group at random.
     *
     * @param onAttemptEnded called with each attempt that ends and its outcome
     * @param onListChanged called with each server whose entry in the endpoint list changes
     */
    SimulatedCluster(
            VirtualTime time,
            SplittableRandom random,
            RulesWorldSettings settings,
            BiConsumer<SimulatedAttempt, AttemptOutcome> onAttemptEnded,
            Consumer<SimulatedServer> onListChanged) {
        this.time = time;
        this.random = random;
        this.settings = settings;
        this.onAttemptEnded = onAttemptEnded;
        this.onListChanged = onListChanged;
        primaries = new SimulatedServer[settings.groups];
        for (int group = 0; group < settings.groups; group++) {
            int size = 2 + random.nextInt(5);
            for (int i = 0; i < size; i++) {
                SimulatedServer server =
                        new SimulatedServer("n" + group + "." + i, group, random.nextInt(settings.zones), this);
                byId.put(server.id, server);
                servers.add(server);
                if (i == 0) {
                    primaries[group] = server;
                    server.listedPrimary = true;
                }
            }
        }
    }

    List<SimulatedServer> servers() {
        return servers;
    }

    SimulatedServer server(String id) {
        return byId.get(id);
    }

    SimulatedServer primary(int group) {
        return primaries[group];
    }

    /** Returns the requests per second that all servers together serve when warm. */
    double requestsPerSecond() {
        double sum = 0;
        for (SimulatedServer server : servers) {
            sum += server.requestsPerSecond();
        }
        return sum;
    }

    /** Reports that an attempt has ended. */
    void end(SimulatedAttempt attempt, AttemptOutcome outcome) {
        onAttemptEnded.accept(attempt, outcome);
    }

    /**
     * Injects one random fault: a crash, a drain, the loss of a whole zone, or a replica that falls 2 s behind for 3 s.
     */
    void injectFault() {
        SimulatedServer server = servers.get(random.nextInt(servers.size()));
        switch (random.nextInt(4)) {
            case 0 -> crash(server, true);
            case 1 -> drain(server);
            case 2 -> servers.stream()
                    .filter(other -> other.zone == server.zone && settings.zones > 1)
                    .forEach(other -> crash(other, false));
            default -> {
                server.setLag(server.lag() + 2 * SECOND);
                time.in(3 * SECOND, () -> server.setLag(50 * MILLI));
            }
        }
    }

    /** Crashes a server. It restarts after 1 to 2 s if quick, otherwise 2 to 3 s; a primary is replaced after 1 s. */
    private void crash(SimulatedServer server, boolean quickRestart) {
        if (!server.isUp()) {
            return;
        }
        server.crash();
        if (server.isPrimary()) {
            time.in(SECOND, () -> elect(server));
        }
        time.in((quickRestart ? 1 : 2) * SECOND + random.nextInt((int) SECOND), () -> {
            server.restart();
            time.in(random.nextInt((int) (500 * MILLI)), () -> updateListing(server, server.listed));
        });
    }

    /** Lists a server as draining until 3 s after the drain's grace; a primary is replaced after 500 ms. */
    private void drain(SimulatedServer server) {
        updateListing(server, EndpointState.DRAINING);
        if (server.isPrimary()) {
            time.in(500 * MILLI, () -> elect(server));
        }
        time.in(settings.rules.drainGraceMicros() + 3 * SECOND, () -> updateListing(server, EndpointState.LIVE));
    }

    /** Makes the first other live server of the group its primary, if there is one. */
    private void elect(SimulatedServer previousPrimary) {
        servers.stream()
                .filter(other -> other.group == previousPrimary.group
                        && other != previousPrimary
                        && other.isUp()
                        && other.listed == EndpointState.LIVE)
                .findFirst()
                .ifPresent(next -> primaries[previousPrimary.group] = next);
    }

    private void updateListing(SimulatedServer server, EndpointState state) {
        server.drainNotified =
                state == EndpointState.LIVE ? Long.MAX_VALUE : Math.min(server.drainNotified, time.now());
        server.listed = state;
        onListChanged.accept(server);
    }
}
