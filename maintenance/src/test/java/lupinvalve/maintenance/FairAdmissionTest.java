package lupinvalve.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Whose request is submitted next, in steps of one request served at a time. */
class FairAdmissionTest {
    private static final int LIMIT = 40;

    private final List<FairAdmission.Client> open = new ArrayList<>();
    private final List<FairAdmission.Client> submitted = new ArrayList<>();
    private final FairAdmission admission = new FairAdmission(LIMIT, open::size);

    private void send(FairAdmission.Client client, int count) {
        for (int i = 0; i < count; i++) {
            admission.request(client, () -> {
                submitted.add(client);
                return open.add(client);
            });
        }
    }

    private void serve(int index) {
        admission.ended(open.remove(index));
        admission.admitWaiting();
    }

    @Test
    void aClientAloneHasHalfOfWhatCanBeServedAtOnce() {
        FairAdmission.Client alone = new FairAdmission.Client();
        send(alone, 100);
        assertEquals(LIMIT / 2 + 1, open.size());
        assertTrue(admission.hasWaiting());
        while (!open.isEmpty()) {
            serve(0);
        }
        assertEquals(100, submitted.size());
        assertFalse(admission.hasWaiting());
    }

    @Test
    void aClientWithOneRequestNeverWaits() {
        for (int i = 0; i < 100; i++) {
            send(new FairAdmission.Client(), 64);
        }
        FairAdmission.Client usual = new FairAdmission.Client();
        send(usual, 1);
        assertTrue(open.contains(usual));
    }

    @Test
    void requestsOfAClientThatHasLeftAreNotSubmitted() {
        FairAdmission.Client leaving = new FairAdmission.Client();
        FairAdmission.Client other = new FairAdmission.Client();
        send(leaving, 64);
        send(other, 64);
        admission.removed(leaving);
        submitted.clear();
        while (!open.isEmpty()) {
            serve(0);
        }
        assertFalse(submitted.contains(leaving));
        assertTrue(submitted.contains(other));
    }

    @Test
    void aRequestThatHasEndedWhileItWaitedCountsForNothing() {
        FairAdmission.Client client = new FairAdmission.Client();
        send(client, 30);
        admission.request(client, () -> false);
        send(client, 1);
        while (!open.isEmpty()) {
            serve(0);
        }
        assertEquals(31, submitted.size());
    }

    /** Clients that wait take turns, however many requests each has sent. */
    @Test
    void clientsThatWaitAreServedAlike() {
        for (int seed = 1; seed <= 100; seed++) {
            FairAdmissionTest play = new FairAdmissionTest();
            Random random = new Random(seed);
            List<FairAdmission.Client> clients = new ArrayList<>();
            for (int i = 0; i < 2 + random.nextInt(30); i++) {
                clients.add(new FairAdmission.Client());
                play.send(clients.get(i), 50 + random.nextInt(500));
            }
            for (int i = 0; i < 20 * clients.size(); i++) {
                play.serve(random.nextInt(play.open.size()));
            }
            for (FairAdmission.Client client : clients) {
                long count =
                        play.submitted.stream().filter(one -> one == client).count();
                assertTrue(count >= 10, "seed " + seed + ": " + count + " of " + clients.size() + " clients");
            }
        }
    }
}
