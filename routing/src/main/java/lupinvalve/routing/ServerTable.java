package lupinvalve.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** The servers and groups known to the router, in the order in which they were first listed. */
final class ServerTable {
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Integer, ServerGroup> groups = new LinkedHashMap<>();

    /** The server with this id, or null. */
    Server server(String id) {
        return servers.get(id);
    }

    /** The group with this number, or null. */
    ServerGroup group(int number) {
        return groups.get(number);
    }

    Collection<Server> servers() {
        return servers.values();
    }

    Collection<ServerGroup> groups() {
        return groups.values();
    }

    void addGroup(int number, ServerGroup group) {
        groups.put(number, group);
    }

    /** Adds a server to the table and to its group. */
    void addServer(Server server) {
        servers.put(server.id, server);
        server.group.members.add(server);
        server.group.members.sort(Comparator.comparing(member -> member.id));
    }

    /** Removes each server that meets a condition, from the table and from its group. */
    void removeServersIf(Predicate<Server> condition) {
        servers.values().removeIf(server -> {
            boolean removed = condition.test(server);
            if (removed) {
                server.group.members.remove(server);
            }
            return removed;
        });
    }
}
