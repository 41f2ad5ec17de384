package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lupinvalve.config.Database;
import lupinvalve.config.OperatorConfig;
import org.apache.commons.math3.random.Well19937c;
import org.junit.jupiter.api.Test;

/** What is put is a configuration of as many databases, of a real entry's length, and differs a little each time. */
class DocumentsTest {
    @Test
    void documentsAreTakenAndDifferInAFewEntries() throws Exception {
        Documents documents = new Documents(1_200, new Well19937c(3));
        byte[] first = documents.next();
        assertEquals(Optional.empty(), OperatorConfig.validationError(first));
        assertTrue(first.length / 1_200 >= 150 && first.length / 1_200 <= 220, first.length + " bytes");
        List<Database> before = OperatorConfig.read(first).databases();
        for (int i = 0; i < 20; i++) {
            List<Database> now =
                    new ArrayList<>(OperatorConfig.read(documents.next()).databases());
            assertEquals(1_200, now.size());
            List<Database> other = new ArrayList<>(now);
            other.removeAll(before);
            assertTrue(other.size() <= 3, other.size() + " entries differ");
            before = now;
        }
    }
}
