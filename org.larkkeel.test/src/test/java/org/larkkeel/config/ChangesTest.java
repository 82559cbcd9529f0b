/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.testng.annotations.Test;

/** Tests of {@link Changes}, {@link ChangeCodec} and {@link Diff}. */
public class ChangesTest {
  private static final ObjectId UPSTREAM_ID = new ObjectId(ObjectKind.UPSTREAM, "telar-1");
  private static final Workspace WORKSPACE =
      new Workspace(new WorkspaceName("w"), Labels.NONE, Limits.NONE, Optional.empty());

  private ChangesTest() {}

  private static Configuration example() {
    try {
      Path path = Path.of("..", "docs", "examples", "first.jsonc");
      return ConfigurationDocument.read("f", Files.readString(path)).orThrow();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static Change change(String id, Operation... operations) {
    return new Change(
        new ChangeId(id), "ana", 5, "test", new Revision(3), ImmutableList.copyOf(operations));
  }

  private static Operation.Label label(String key, String value) {
    return new Operation.Label(
        UPSTREAM_ID, ImmutableSortedMap.of(key, value), ImmutableSortedSet.of());
  }

  /** Applying changes. */
  public static class Apply {
    @Test
    public void operationsAreAppliedInOrder() {
      Operation.Label label =
          new Operation.Label(
              WORKSPACE.id(), ImmutableSortedMap.of("team", "x"), ImmutableSortedSet.of("none"));
      Configuration changed =
          Changes.apply(
                  example(),
                  change(
                      "c", new Operation.Put(WORKSPACE), label, new Operation.Delete(UPSTREAM_ID)))
              .orThrow();
      assertEquals(
          changed.workspaces().get(WORKSPACE.name()).labels().get("team"), Optional.of("x"));
      assertEquals(changed.upstreams().get(new UpstreamName("telar-1")), null);
    }

    @Test
    public void applyReportsEveryMissingTargetAndReplayIgnoresThem() {
      ObjectId missing = new ObjectId(ObjectKind.POOL, "none");
      Change change =
          change(
              "c", new Operation.Delete(missing), new Operation.Delete(missing), label("a", "b"));
      Checked<Configuration> refused = Changes.apply(example(), change);
      assertEquals(
          refused.problems().all().stream().filter(p -> p.severity() == Severity.ERROR).count(), 2);
      Configuration replayed = Changes.replay(example(), change);
      assertEquals(
          replayed.upstreams().get(new UpstreamName("telar-1")).labels().get("a"),
          Optional.of("b"));
    }

    @Test
    public void duplicateUpstreamAddressIsRefused() {
      Upstream telar = example().upstreams().get(new UpstreamName("telar-1"));
      Upstream copy =
          new Upstream(
              new UpstreamName("copy"),
              telar.address(),
              telar.labels(),
              telar.models(),
              1,
              FencingSupport.IGNORED,
              1);
      assertTrue(
          Changes.apply(example(), change("c", new Operation.Put(copy))).problems().hasErrors());
    }
  }

  /** Conflicts between changes that started from the same revision. */
  public static class Conflict {
    @Test
    public void labelsConflictOnlyOnTheSameKey() {
      Change other = change("other", label("gen", "new"));
      ImmutableList<Change> accepted = ImmutableList.of(other);
      assertEquals(
          Changes.findConflict(change("c", label("phase", "x")), accepted), Optional.empty());
      assertEquals(
          Changes.findConflict(change("c", label("gen", "x")), accepted), Optional.of(other));
      assertEquals(
          Changes.findConflict(change("c", new Operation.Delete(UPSTREAM_ID)), accepted),
          Optional.of(other));
    }

    @Test
    public void changeDoesNotConflictWithItself() {
      Change change = change("c", label("gen", "x"));
      assertEquals(Changes.findConflict(change, ImmutableList.of(change)), Optional.empty());
    }
  }

  /** Changes as JSON. */
  public static class Codec {
    @Test
    public void everyOperationReadsBackEqual() {
      ImmutableList.Builder<Operation> operations = ImmutableList.builder();
      ConfigurationObjects.all(example())
          .values()
          .forEach(o -> operations.add(new Operation.Put(o)));
      operations.add(new Operation.Delete(UPSTREAM_ID)).add(label("a", "b"));
      Change change = change("c", operations.build().toArray(new Operation[0]));
      String text = ChangeCodec.toJson(change).toString();
      assertEquals(ChangeCodec.read("f", text).orThrow(), change);
    }

    @Test
    public void everyProblemIsReported() {
      String text =
          """
          {"base": -1, "operations": [
            {"type": "put", "kind": "pool", "name": "p"},
            {"type": "drop", "kind": "pools"},
            {"type": "put", "kind": "upstream", "name": "u", "spec": {"slots": "x"}}]}
          """;
      assertEquals(
          ChangeCodec.read("f", text).problems().all().stream()
              .map(p -> p.path().pointer())
              .sorted()
              .toList(),
          ImmutableList.of(
              "/base",
              "/id",
              "/operations/0/spec",
              "/operations/1/kind",
              "/operations/1/name",
              "/operations/1/type",
              "/operations/2/spec/address",
              "/operations/2/spec/slots"));
    }
  }

  /** Differences between configurations. */
  public static class Difference {
    @Test
    public void operationsTransformEarlierIntoLaterConfiguration() {
      Configuration before = example();
      Change change =
          change("c", label("gen", "new"), new Operation.Put(WORKSPACE), delete("buyers"));
      Configuration after = Changes.apply(before, change).orThrow();
      Diff diff = Diff.between(before, after);
      assertEquals(
          diff.objects().stream().map(o -> o.type() + " " + o.id()).toList(),
          ImmutableList.of(
              "CHANGED upstream/telar-1", "REMOVED workspace/buyers", "ADDED workspace/w"));
      assertEquals(
          diff.objects().getFirst().fields(),
          ImmutableList.of(
              new Diff.FieldDiff(
                  new JsonPath("/labels/gen"), Optional.of("\"old\""), Optional.of("\"new\""))));
      Operation[] operations = diff.operations(after, true).toArray(new Operation[0]);
      assertEquals(Changes.apply(before, change("d", operations)).orThrow(), after);
      assertEquals(diff.operations(after, false).size(), 2);
    }

    private static Operation delete(String workspace) {
      return new Operation.Delete(new ObjectId(ObjectKind.WORKSPACE, workspace));
    }
  }
}
