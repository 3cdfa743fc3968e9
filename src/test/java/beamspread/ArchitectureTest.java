package beamspread;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks the dependency rules in the table of docs/ARCHITECTURE.md. */
class ArchitectureTest {
  private static final String[] OPERATIONS_PACKAGES = {
    "beamspread.record..",
    "beamspread.lease..",
    "beamspread.agent..",
    "beamspread.fleet..",
    "beamspread.standin..",
    "beamspread.lab..",
    "beamspread.replay..",
    "beamspread.runs..",
    "beamspread.report..",
    "beamspread.store..",
    "beamspread.chaos..",
    "beamspread.scale..",
    "beamspread.cli.."
  };

  private static final String[] IO_PACKAGES = {
    "io.netty..",
    "java.net..",
    "java.nio.channels..",
    "java.nio.file..",
    "java.sql..",
    "javax.sql.."
  };

  private static final JavaClasses MAIN_CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("beamspread");

  @Test
  void packagesAreFreeOfCycles() {
    slices().matching("beamspread.(*)..").should().beFreeOfCycles().check(MAIN_CLASSES);
  }

  @Test
  void decisionModuleDependsOnlyOnModelAndJavaBase() {
    classes()
        .that()
        .resideInAPackage("beamspread.policy..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "beamspread.policy..", "beamspread.model..", "java.lang..", "java.util..")
        .check(MAIN_CLASSES);
  }

  @Test
  void decisionPackagesUseNoInputOutputOrClocks() {
    for (String packagePattern :
        new String[] {
          "beamspread.pool..",
          "beamspread.relay..",
          "beamspread.tier..",
          "beamspread.overload..",
          "beamspread.lease.."
        }) {
      classes()
          .that()
          .resideInAPackage(packagePattern)
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              packagePattern, "java.lang..", "java.util..", "java.nio", "java.nio.charset")
          .check(MAIN_CLASSES);
      noClasses()
          .that()
          .resideInAPackage(packagePattern)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .check(MAIN_CLASSES);
    }
  }

  @Test
  void variantsUseNoInputOutputOrClocks() {
    classes()
        .that()
        .resideInAPackage("beamspread.variants..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "beamspread.variants..",
            "java.lang..",
            "java.util..",
            "java.nio",
            "java.nio.charset",
            "java.security")
        .check(MAIN_CLASSES);
    noClasses()
        .that()
        .resideInAPackage("beamspread.variants..")
        .should()
        .callMethod(System.class, "nanoTime")
        .check(MAIN_CLASSES);
  }

  @Test
  void maintenanceUsesNoInputOutputOrClocks() {
    classes()
        .that()
        .resideInAPackage("beamspread.maintenance..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "beamspread.maintenance..", "beamspread.model..", "java.lang..", "java.util..")
        .check(MAIN_CLASSES);
  }

  @Test
  void simulationUsesNoNetworkOrRealTime() {
    noClasses()
        .that()
        .resideInAPackage("beamspread.lab..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty..", "java.net..", "java.sql..", "beamspread.node..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(MAIN_CLASSES);
  }

  @Test
  void decisionClassesUseNoInputOutputOrClocks() {
    for (String className :
        new String[] {
          "beamspread.agent.InstanceMachine",
          "beamspread.agent.InstanceLeases",
          "beamspread.fleet.Rollout",
          "beamspread.fleet.Selection",
          "beamspread.fleet.Resume",
          "beamspread.loop.EventLoopMonitor",
          "beamspread.store.WriteDesk",
          "beamspread.store.IdWindow",
          "beamspread.chaos.Schedule",
          "beamspread.chaos.Network",
          "beamspread.chaos.LinkPlan",
          "beamspread.chaos.History",
          "beamspread.chaos.Story",
          "beamspread.chaos.Shrink",
          "beamspread.chaos.SheetsJudge",
          "beamspread.chaos.RolloutJudge",
          "beamspread.chaos.RequestsJudge",
          "beamspread.chaos.members.MemberWorld"
        }) {
      noClasses()
          .that()
          .haveFullyQualifiedName(className)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(IO_PACKAGES)
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .check(MAIN_CLASSES);
    }
  }

  @Test
  void nodePackagesDoNotDependOnOperations() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "beamspread",
            "beamspread.model..",
            "beamspread.policy..",
            "beamspread.sim..",
            "beamspread.loop..",
            "beamspread.overload..",
            "beamspread.pool..",
            "beamspread.relay..",
            "beamspread.maintenance..",
            "beamspread.tier..",
            "beamspread.variants..",
            "beamspread.node..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(OPERATIONS_PACKAGES)
        .check(MAIN_CLASSES);
  }

  @Test
  void nodeSubpackagesAreFreeOfCycles() {
    slices().matching("beamspread.node.(*)..").should().beFreeOfCycles().check(MAIN_CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage(
            "beamspread.node.client..",
            "beamspread.node.server..",
            "beamspread.node.mgmt..",
            "beamspread.node.handover..",
            "beamspread.node.relay..",
            "beamspread.node.tier..",
            "beamspread.node.variants..",
            "beamspread.node.wire..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("beamspread.node")
        .check(MAIN_CLASSES);
  }

  @Test
  void recordFleetAndAgentPackagesAreIndependent() {
    noClasses()
        .that()
        .resideInAPackage("beamspread.record..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("beamspread.agent..", "beamspread.fleet..", "beamspread.node..")
        .check(MAIN_CLASSES);
    noClasses()
        .that()
        .resideInAPackage("beamspread.fleet..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("beamspread.agent..", "beamspread.record..", "beamspread.node..")
        .check(MAIN_CLASSES);
    noClasses()
        .that()
        .resideInAPackage("beamspread.agent..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("beamspread.node..", "beamspread.cli..", "beamspread.standin..")
        .check(MAIN_CLASSES);
  }
}
