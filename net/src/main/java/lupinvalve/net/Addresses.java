package lupinvalve.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads {@code host:port}; the host is a literal address, as there is no DNS on the platform. */
public final class Addresses {
    private Addresses() {}

    /** @throws IllegalArgumentException where it is no such thing */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not host:port: " + text);
        }
        String host = text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            boolean literal = host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]") || host.equals("localhost");
            return literal
                    ? new InetSocketAddress(InetAddress.getByName(host), port)
                    : InetSocketAddress.createUnresolved(host, port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("not host:port: " + text, e);
        }
    }
}
