/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Limits;
import org.larkkeel.config.Match;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Repeatability;
import org.larkkeel.config.Role;
import org.larkkeel.config.Rule;
import org.larkkeel.config.Targets;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Urgency;
import org.larkkeel.config.Workspace;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.selector.Selector;
import org.testng.annotations.Test;

/** Compares each index with a naive computation over generated histories. */
public class IndexTest {
  private static final long SEED = 11;
  private static final List<Role> ROLES = List.of(Role.values());
  private static final int HISTORIES = 60;
  private static final List<String> SELECTORS =
      List.of("", "gen=old", "gen in (old, new)", "role!=decode", "!gen", "gen, role=prefill");
  private static final List<ModelName> MODELS =
      List.of(new ModelName("a"), new ModelName("b"), new ModelName("c"));

  private static void check(Predicate<SplittableRandom> property) {
    qt().withFixedSeed(SEED)
        .withExamples(HISTORIES)
        .forAll(longs().all())
        .check(seed -> property.test(new SplittableRandom(seed)));
  }

  private static Selector selector(SplittableRandom random) {
    return Selector.parse(SELECTORS.get(random.nextInt(SELECTORS.size())));
  }

  private static Labels labels(SplittableRandom random) {
    Map<String, String> labels = new TreeMap<>();
    if (random.nextBoolean()) {
      labels.put("gen", random.nextBoolean() ? "old" : "new");
    }
    if (random.nextBoolean()) {
      labels.put("role", random.nextBoolean() ? "prefill" : "decode");
    }
    return Labels.of(labels);
  }

  private static Upstream upstream(String name, SplittableRandom random) {
    return new Upstream(
        new UpstreamName(name),
        "127.0.0.1:1",
        labels(random),
        ImmutableSet.of(MODELS.get(random.nextInt(3))),
        1 + random.nextInt(4),
        FencingSupport.IGNORED,
        1_000_000);
  }

  private static Rule rule(String name, SplittableRandom random) {
    Optional<ModelName> model =
        random.nextBoolean() ? Optional.of(MODELS.get(random.nextInt(3))) : Optional.empty();
    Optional<String> path =
        random.nextInt(3) == 0 ? Optional.of("/" + random.nextInt(3)) : Optional.empty();
    return new Rule(
        new RuleName(name),
        Labels.NONE,
        random.nextInt(3),
        new Match(model, path, selector(random)),
        selector(random),
        Urgency.PATIENT,
        Targets.DEFAULT,
        Repeatability.BY_METHOD,
        3);
  }

  /** Changes three random objects of a configuration. */
  private static Configuration change(Configuration before, SplittableRandom random) {
    Map<UpstreamName, Upstream> upstreams = new HashMap<>(before.upstreams());
    Map<PoolName, Pool> pools = new HashMap<>(before.pools());
    Map<RuleName, Rule> rules = new HashMap<>(before.rules());
    Map<WorkspaceName, Workspace> workspaces = new HashMap<>(before.workspaces());
    for (int i = 0; i < 3; i++) {
      String name = "n" + random.nextInt(8);
      switch (random.nextInt(7)) {
        case 0, 1 -> upstreams.put(new UpstreamName(name), upstream(name, random));
        case 2 -> upstreams.remove(new UpstreamName(name));
        case 3 -> {
          Role role = ROLES.get(random.nextInt(3));
          pools.put(
              new PoolName(name),
              new Pool(new PoolName(name), role, labels(random), selector(random)));
        }
        case 4 -> pools.remove(new PoolName(name));
        case 5 -> rules.put(new RuleName(name), rule(name, random));
        default -> {
          WorkspaceName workspace = new WorkspaceName(name);
          workspaces.put(
              workspace, new Workspace(workspace, labels(random), Limits.NONE, Optional.empty()));
        }
      }
    }
    return new Configuration(
        new Revision(before.revision().value() + 1),
        ImmutableSortedMap.copyOf(upstreams),
        ImmutableSortedMap.copyOf(pools),
        ImmutableSortedMap.copyOf(rules),
        ImmutableSortedMap.copyOf(workspaces));
  }

  private static Call call(SplittableRandom random) {
    RequestId id = new RequestId(1);
    WorkspaceName workspace = new WorkspaceName("n" + random.nextInt(8));
    if (random.nextBoolean()) {
      return new Call.Plain(id, workspace, Optional.empty(), "/" + random.nextInt(4), true, 0);
    }
    ModelName model = MODELS.get(random.nextInt(3));
    return new Call.Completion(id, workspace, Optional.empty(), model, 10, 10, PrefixKeys.NONE, 0);
  }

  /** The indexes of pools and rules. */
  public static class SelectionTest {
    @Test
    public void poolMembersMatchTheirSelectors() {
      check(
          random -> {
            PoolIndex index = new PoolIndex();
            Configuration configuration = Configuration.EMPTY;
            for (int i = 0; i < 40; i++) {
              configuration = change(configuration, random);
              index.apply(configuration);
              for (Pool pool : configuration.pools().values()) {
                Set<UpstreamName> naive =
                    configuration.upstreams().values().stream()
                        .filter(u -> pool.upstreams().matches(u.labels()))
                        .map(Upstream::name)
                        .collect(Collectors.toSet());
                if (!index.members(pool.name()).equals(naive)) {
                  return false;
                }
              }
            }
            return true;
          });
    }

    @Test
    public void ruleMatchesLinearSearch() {
      check(
          random -> {
            RuleIndex index = new RuleIndex();
            Configuration configuration = Configuration.EMPTY;
            for (int i = 0; i < 40; i++) {
              configuration = change(configuration, random);
              index.apply(configuration);
              Call call = call(random);
              if (!index.find(call).equals(naive(configuration, call))) {
                return false;
              }
            }
            return true;
          });
    }

    private static Optional<Rule> naive(Configuration configuration, Call call) {
      return configuration.rules().values().stream()
          .sorted(Comparator.comparingInt((Rule r) -> -r.priority()).thenComparing(Rule::name))
          .filter(r -> matches(configuration, r.match(), call))
          .findFirst();
    }

    private static boolean matches(Configuration configuration, Match match, Call call) {
      Workspace workspace = configuration.workspaces().get(call.workspace());
      boolean fits =
          match.workspaces().matches(workspace == null ? Labels.NONE : workspace.labels());
      if (!fits) {
        return false;
      }
      return switch (call) {
        case Call.Completion c ->
            match.pathPrefix().isEmpty() && match.model().map(c.model()::equals).orElse(true);
        case Call.Plain p ->
            match.model().isEmpty() && match.pathPrefix().map(p.path()::startsWith).orElse(true);
      };
    }
  }

  /** The timer queue. */
  public static class TimerQueueTest {
    @Test
    public void timersFireWhenDueAndClearedOnesAreRemoved() {
      check(
          random -> {
            TimerQueue queue = new TimerQueue();
            Map<Integer, Long> naive = new HashMap<>();
            List<Integer> fired = new ArrayList<>();
            List<Timer> timers = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
              int number = i;
              timers.add(new Timer(() -> fired.add(number)));
            }
            long now = 0;
            for (int i = 0; i < 300; i++) {
              int number = random.nextInt(30);
              switch (random.nextInt(4)) {
                case 0, 1 -> {
                  long at = now + 1 + random.nextInt(1_000) * 32L + number;
                  queue.set(timers.get(number), at);
                  naive.put(number, at);
                }
                case 2 -> {
                  queue.clear(timers.get(number));
                  naive.remove(number);
                }
                default -> {
                  now += random.nextInt(5_000);
                  long until = now;
                  List<Integer> due =
                      naive.entrySet().stream()
                          .filter(e -> e.getValue() <= until)
                          .sorted(
                              Comparator.comparingLong((Map.Entry<Integer, Long> e) -> e.getValue())
                                  .thenComparing(Map.Entry::getKey))
                          .map(Map.Entry::getKey)
                          .toList();
                  due.forEach(naive::remove);
                  fired.clear();
                  queue.fireDue(now);
                  if (!new HashSet<>(fired).equals(new HashSet<>(due))) {
                    return false;
                  }
                }
              }
              if (queue.size() != naive.size()) {
                return false;
              }
            }
            return true;
          });
    }
  }

  /** The index of prompt prefixes. */
  public static class PrefixIndexTest {
    @Test
    public void indexReturnsExactlyTheUpstreamsOfEachPrefix() {
      check(
          random -> {
            PrefixIndex index = new PrefixIndex();
            List<UpstreamState> states = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
              Health health = new Health(3, 1);
              states.add(
                  new UpstreamState(
                      upstream("u" + i, random),
                      new SpeedEstimates(null),
                      index,
                      health,
                      () -> {}));
            }
            for (int i = 0; i < 200; i++) {
              UpstreamState state = states.get(random.nextInt(4));
              ImmutableLongArray stored = ImmutableLongArray.of(random.nextInt(20));
              ImmutableLongArray removed = ImmutableLongArray.of(random.nextInt(20));
              long incarnation = 1L + i / 80;
              state.cache.applyChange(
                  new Incarnation(incarnation), random.nextInt(400), stored, removed);
              for (long key = 0; key < 20; key++) {
                long sought = key;
                Set<UpstreamState> naive =
                    states.stream()
                        .filter(s -> s.cache.contains(sought))
                        .collect(Collectors.toSet());
                List<UpstreamState> found = index.withLongestPrefix(ImmutableLongArray.of(key));
                if (found.size() != naive.size() || !naive.containsAll(found)) {
                  return false;
                }
              }
            }
            return true;
          });
    }
  }

  /** The ledger of slots. */
  public static class SlotLedgerTest {
    @Test
    public void reportsAreCorrectedForWhatHappenedAfterThem() {
      check(
          random -> {
            SlotLedger ledger = new SlotLedger();
            ledger.setLimit(1_000);
            List<Integer> own = new ArrayList<>();
            int active = 0;
            for (int now = 0; now < 200; now++) {
              if (random.nextBoolean()) {
                ledger.take(now);
                active++;
              } else if (active > 0) {
                ledger.release(now);
                active--;
              }
              own.add(active);
              int others = random.nextInt(50);
              int asOf = Math.max(0, now - random.nextInt(30));
              LoadReport report =
                  new LoadReport(
                      new Incarnation(1),
                      asOf,
                      1_000,
                      own.get(asOf) + others,
                      0,
                      1,
                      1,
                      ImmutableSet.of());
              ledger.applyReport(report);
              if (ledger.usable(now, false, 1) - ledger.active() != 1_000 - others - active) {
                return false;
              }
            }
            return true;
          });
    }
  }
}
