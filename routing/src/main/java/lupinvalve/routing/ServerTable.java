package lupinvalve.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** The servers and groups that the router knows, in the order in which they were first listed. */
final class ServerTable {
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Integer, ServerGroup> groups = new LinkedHashMap<>();

    /** The server of this id, or null. */
    Server server(String id) {
        return servers.get(id);
    }

    /** The group of this number, or null. */
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

    /** Removes each server that the list has dropped for good. */
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
