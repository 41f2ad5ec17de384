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

/** The groups of servers, which of them are primaries, and the faults that happen to them. */
final class SimulatedCluster {
    final VirtualTime time;
    final SplittableRandom random;
    final RulesWorldSettings settings;
    private final BiConsumer<SimulatedAttempt, AttemptOutcome> attemptEnds;
    private final Consumer<SimulatedServer> listChanges;
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<String, SimulatedServer> byId = new HashMap<>();
    private final SimulatedServer[] primaries;

    /** Draws the servers; how attempts end and what the endpoint list changes go to the consumers. */
    SimulatedCluster(
            VirtualTime time,
            SplittableRandom random,
            RulesWorldSettings settings,
            BiConsumer<SimulatedAttempt, AttemptOutcome> attemptEnds,
            Consumer<SimulatedServer> listChanges) {
        this.time = time;
        this.random = random;
        this.settings = settings;
        this.attemptEnds = attemptEnds;
        this.listChanges = listChanges;
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

    double requestsPerSecond() {
        double sum = 0;
        for (SimulatedServer server : servers) {
            sum += server.requestsPerSecond();
        }
        return sum;
    }

    void end(SimulatedAttempt attempt, AttemptOutcome outcome) {
        attemptEnds.accept(attempt, outcome);
    }

    /** One fault, drawn: a crash, a drain, a zone lost, or a replica that falls behind. */
    void fault() {
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

    private void crash(SimulatedServer server, boolean quick) {
        if (!server.isUp()) {
            return;
        }
        server.crash();
        if (server.isPrimary()) {
            time.in(SECOND, () -> elect(server));
        }
        time.in((quick ? 1 : 2) * SECOND + random.nextInt((int) SECOND), () -> {
            server.restart();
            time.in(random.nextInt((int) (500 * MILLI)), () -> list(server, server.listed));
        });
    }

    private void drain(SimulatedServer server) {
        list(server, EndpointState.DRAINING);
        if (server.isPrimary()) {
            time.in(500 * MILLI, () -> elect(server));
        }
        time.in(settings.rules.drainGraceMicros() + 3 * SECOND, () -> list(server, EndpointState.LIVE));
    }

    private void elect(SimulatedServer before) {
        servers.stream()
                .filter(other -> other.group == before.group
                        && other != before
                        && other.isUp()
                        && other.listed == EndpointState.LIVE)
                .findFirst()
                .ifPresent(next -> primaries[before.group] = next);
    }

    private void list(SimulatedServer server, EndpointState state) {
        server.drainNotified =
                state == EndpointState.LIVE ? Long.MAX_VALUE : Math.min(server.drainNotified, time.now());
        server.listed = state;
        listChanges.accept(server);
    }
}
