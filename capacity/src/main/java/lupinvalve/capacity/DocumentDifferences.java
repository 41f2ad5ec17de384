package lupinvalve.capacity;

import java.nio.charset.StandardCharsets;
import lupinvalve.subscription.DocumentDelta;

/** What the program makes of a change of a document, by its own code. */
final class DocumentDifferences {
    private static final int PLACES = 3;

    private DocumentDifferences() {}

    /** Bytes of the difference where three databases change that lie a quarter of the document apart. */
    static double farApart(int databases, int bytesEach) {
        byte[] before = document(databases, bytesEach);
        byte[] after = before.clone();
        for (int place = 1; place <= PLACES; place++) {
            int entry = databases * place / (PLACES + 1);
            after[entry * bytesEach + bytesEach / 2]++;
        }
        return DocumentDelta.between(before, after).sizeBytes();
    }

    /** Entries that differ by their numbers, as names and addresses do. */
    private static byte[] document(int databases, int bytesEach) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < databases; i++) {
            String name = String.format("{\"name\":\"orders-%04d\",", i);
            out.append(name).append(".".repeat(Math.max(0, bytesEach - name.length())));
        }
        return out.toString().getBytes(StandardCharsets.US_ASCII);
    }
}
