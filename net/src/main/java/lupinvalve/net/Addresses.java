package lupinvalve.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses {@code host:port}; the host is a literal address, as there is no DNS on the platform. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an address; a host name other than localhost stays unresolved, so that connecting to it fails.
     *
     * @throws IllegalArgumentException if it is not of this form
     */
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
