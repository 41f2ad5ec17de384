package lupinvalve.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import lupinvalve.routing.Router;

/** Hosts any number of routers: one line of events in, one line of actions out. The routers share nothing. */
public final class Host {
    private final Map<Integer, Router> routers = new HashMap<>();
    private final BatchReader reader = new BatchReader();

    /** Runs until the input ends. */
    public void run(InputStream in, OutputStream out) throws IOException {
        byte[] line = new byte[1 << 16];
        int length = 0;
        byte[] chunk = new byte[1 << 16];
        int read;
        while ((read = in.read(chunk)) >= 0) {
            int from = 0;
            for (int i = 0; i < read; i++) {
                if (chunk[i] != '\n') {
                    continue;
                }
                line = append(line, length, chunk, from, i);
                length += i - from;
                from = i + 1;
                answer(line, length, out);
                length = 0;
            }
            line = append(line, length, chunk, from, read);
            length += read - from;
        }
        answer(line, length, out);
    }

    private static byte[] append(byte[] line, int length, byte[] chunk, int from, int to) {
        byte[] target = line;
        if (length + to - from > line.length) {
            target = Arrays.copyOf(line, Math.max(line.length * 2, length + to - from));
        }
        System.arraycopy(chunk, from, target, length, to - from);
        return target;
    }

    private void answer(byte[] line, int length, OutputStream out) throws IOException {
        boolean blank = true;
        for (int i = 0; i < length && blank; i++) {
            blank = line[i] == ' ' || line[i] == '\r' || line[i] == '\t';
        }
        if (blank) {
            return;
        }
        BatchReader.Batch batch = reader.read(line, length);
        ReplyWriter reply = new ReplyWriter();
        for (BatchReader.Addressed news : batch.news()) {
            int who = news.who();
            reply.speaker(who);
            try {
                if (news.settings() != null) {
                    routers.put(who, new Router(news.seed(), news.settings(), batch.timeMicros(), reply));
                } else if (news.down()) {
                    routers.remove(who);
                } else {
                    Router router = routers.get(who);
                    if (router == null) {
                        throw new WireException("field who: no router " + who + " is up");
                    }
                    router.handle(batch.timeMicros(), news.event(), reply);
                }
            } catch (WireException e) {
                throw e;
            } catch (RuntimeException e) {
                reply.fault(e);
            }
        }
        out.write(reply.finish());
        out.write('\n');
        out.flush();
    }
}
