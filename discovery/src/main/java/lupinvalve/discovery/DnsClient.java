package lupinvalve.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.WireParseException;
import org.xbill.DNS.io.DefaultIoClientFactory;
import org.xbill.DNS.io.UdpIoClient;

/** Sends questions to resolvers, each on a socket of its own, without blocking the caller. Any thread. */
final class DnsClient {
    private static final int THREAD_STACK_BYTES = 256 << 10;
    /** The longest datagram that is read, whatever length the question allows: some resolvers disregard that. */
    private static final int MAX_DATAGRAM_BYTES = 16 << 10;

    private static final int HEADER_BYTES = 12;
    /** Where the header has the number of records behind the answer section. */
    private static final int AUTHORITY_COUNT_OFFSET = 8;

    private final ExecutorService executor = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(null, work, "dns-sd", THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });

    /** Receives over UDP; an answer is read even if the records that were not asked for are malformed. */
    private static final class UdpClientFactory extends DefaultIoClientFactory {
        @Override
        public UdpIoClient createOrGetUdpClient() {
            UdpIoClient client = super.createOrGetUdpClient();
            return (local, remote, query, data, max, timeout) -> client.sendAndReceiveUdp(
                            local, remote, query, data, MAX_DATAGRAM_BYTES, timeout)
                    .thenApply(DnsClient::readablePart);
        }
    }

    private static final UdpClientFactory IO = new UdpClientFactory();

    /**
     * Asks a question.
     *
     * @param timeout how long the answer is awaited; over TCP, by which a truncated answer is asked for again, once
     *     more as long
     * @param onAnswer called once, on another thread
     */
    void ask(InetSocketAddress address, DnsQuestion question, Duration timeout, Consumer<DnsAnswer> onAnswer) {
        executor.execute(() -> send(address, question, timeout, onAnswer));
    }

    private void send(InetSocketAddress address, DnsQuestion question, Duration timeout, Consumer<DnsAnswer> onAnswer) {
        try {
            SimpleResolver resolver = new SimpleResolver(address);
            resolver.setTimeout(timeout);
            resolver.setIoClientFactory(IO);
            Message query = Message.newQuery(Record.newRecord(question.name(), question.type(), DClass.IN));
            resolver.sendAsync(query, executor)
                    .thenApply(message -> DnsAnswer.read(question, message))
                    .exceptionally(DnsClient::failed)
                    .thenAccept(onAnswer);
        } catch (RuntimeException e) {
            onAnswer.accept(failed(e));
        }
    }

    private static DnsAnswer failed(Throwable failure) {
        boolean isWrapped = failure instanceof CompletionException && failure.getCause() != null;
        Throwable cause = isWrapped ? failure.getCause() : failure;
        return cause instanceof WireParseException
                ? DnsAnswer.failed(cause.toString())
                : DnsAnswer.noResponse(cause.toString());
    }

    /** The datagram without the sections behind the answer if they make it malformed. */
    private static byte[] readablePart(byte[] datagram) {
        try {
            new Message(datagram);
            return datagram;
        } catch (IOException | RuntimeException e) {
            if (datagram.length < HEADER_BYTES) {
                return datagram;
            }
            byte[] readable = datagram.clone();
            Arrays.fill(readable, AUTHORITY_COUNT_OFFSET, HEADER_BYTES, (byte) 0);
            return readable;
        }
    }
}
