package lupinvalve.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The generated tables in the pages equal those computed from the file of slopes. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path PLACES = Path.of("docs/capacity/places.md");
    private static final Path SLOPES = Path.of("docs/capacity/slopes.json");
    private static final String HINT = "run: java -jar lab/target/lupinvalve-lab.jar capacity";

    private static CapacityModel model() throws IOException {
        return new CapacityModel(Demand.OPERATORS, Slopes.read(Files.readAllBytes(SLOPES)));
    }

    @Test
    void pagesEqualTheTablesComputedFromTheSlopes() throws IOException {
        assertEquals(List.of(), CapacityPage.stale(Files.readString(PAGE), model().overview()), HINT);
        assertEquals(List.of(), CapacityPage.stale(Files.readString(PLACES), model().places()), HINT);
    }

    @Test
    void figureEditedByHandIsReported() throws IOException {
        String page = Files.readString(PLACES);
        String changed = page.replace("| leases at a pooler | 190 B/s |", "| leases at a pooler | 19 B/s |");
        assertNotEquals(page, changed, "the figure to change is there");
        assertEquals(List.of("group"), CapacityPage.stale(changed, model().places()));
    }

    @Test
    void differentSlopesChangeThePage() throws IOException {
        List<Table> otherTables = new CapacityModel(Demand.OPERATORS, EstimateTest.fixture()).overview();
        List<String> stale = CapacityPage.stale(Files.readString(PAGE), otherTables);
        assertTrue(stale.containsAll(List.of("before-after", "runs")), stale.toString());
    }

    @Test
    void tableWithoutMarkerAndMarkerWithoutTableAreRejected() throws IOException {
        List<Table> tables = model().places();
        String page = Files.readString(PLACES);
        String twice = page + "<!-- generated: group -->\n";
        String unknown = page.replace("generated: group", "generated: troup");
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.render(twice, tables));
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.render(unknown, tables));
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.render("nothing is generated here", tables));
    }
}
