/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * The upstreams, and the choice among them.
 *
 * <p>Invariant: one that is leaving, or was removed longer ago than it may be used, is never
 * chosen. Not safe for use by several threads.
 */
final class Fleet implements UpstreamState.Surroundings {
  /** How much dearer an upstream is whose requests are limited. */
  private static final double LIMITED = 1.25;

  /** As the other, if no answer has shown for some time that it has a limit still. */
  private static final double LIMITED_LONG_AGO = 0.5;

  /** How much dearer an upstream in another data centre is. */
  private static final double FAR = 1.15;

  /** By how much equal costs are spread, so that nodes do not all choose the same. */
  private static final double SPREAD = 0.1;

  /**
   * As the other, while all nodes hear the same sums at the same time: what looks cheapest to one
   * looks so to all, until they hear of it again.
   */
  private static final double SPREAD_OF_SUMS = 1;

  /** The change of an upstream that has started again. */
  private static final String RESTARTED = "restarted";

  static final long SILENCE_NANOS = 1_500_000_000L;
  private static final double FIRST_UNIT_NANOS = 50e6;
  private static final double LEARN_USUAL = 0.1;

  /** By how much the quickest time is forgotten with each answer. */
  private static final double FORGET_QUICKEST = 1.005;

  private final Map<UpstreamName, UpstreamState> all = new LinkedHashMap<>();
  private final Map<ServiceName, Map<UpstreamName, UpstreamState>> byService = new HashMap<>();

  /** Those that leave or are gone from the list. */
  private final Set<UpstreamState> going = new LinkedHashSet<>();

  /** Those where this node has something in flight. */
  private final Set<UpstreamState> loaded = new LinkedHashSet<>();

  /** Those whose prompts this node has found to be lost lately. */
  private final Set<UpstreamState> lapsed = new LinkedHashSet<>();

  private ImmutableMap<UpstreamLife, Long> loads = ImmutableMap.of();
  private boolean loadsChanged;
  private final Map<Kind, Double> usual = new HashMap<>();
  private final Map<Kind, Double> quickest = new HashMap<>();
  private final UpstreamRates rates;
  private final long missingNanos;
  private final SplittableRandom random;
  private final Map<HostName, Heard> heard = new HashMap<>();
  private boolean known;
  private double spread = SPREAD;

  /** What another node told last. */
  private record Heard(long at, ImmutableMap<UpstreamLife, Long> loads) {}

  private record Kind(ServiceName service, Stage stage) {}

  Fleet(long missingNanos, SplittableRandom random, HeldQuotas held, Consumer<RelayFact> report) {
    this.rates = new UpstreamRates(held, this::find, report);
    this.missingNanos = missingNanos;
    this.random = random;
  }

  /** Whether a list of upstreams was ever received. */
  boolean isKnown() {
    return known;
  }

  /** Sets whether what others have in flight is told by one node to all. */
  void hearsSums(boolean now) {
    spread = now ? SPREAD_OF_SUMS : SPREAD;
  }

  /**
   * Takes over changes of the list of upstreams.
   *
   * <p>An upstream whose start differs has started again, whether the start is greater or smaller:
   * its clock may have been set back, and the list is in the order of the store.
   *
   * @return those that were known and have ended, as their upstreams have started again
   */
  ImmutableList<UpstreamState> update(
      long at,
      ImmutableMap<UpstreamName, RelayUpstream> changed,
      ImmutableSet<UpstreamName> removed,
      Consumer<RelayFact> report) {
    known = true;
    ImmutableList.Builder<UpstreamState> ended = ImmutableList.builder();
    for (RelayUpstream u : changed.values()) {
      UpstreamState state = all.get(u.id());
      if (state == null) {
        begin(u);
        report.accept(changed(u, u.leaving() ? "appeared_leaving" : "appeared"));
      } else if (!state.isOf(u.life().start())) {
        over(state);
        begin(u);
        ended.add(state);
        report.accept(changed(u, RESTARTED));
      } else {
        if (u.leaving() && !state.upstream().leaving()) {
          report.accept(changed(u, "leaving"));
        } else if (state.isMissing()) {
          report.accept(changed(u, "returned"));
        }
        listed(state, u);
      }
    }
    for (UpstreamName name : removed) {
      UpstreamState state = all.get(name);
      if (state != null && !state.isMissing()) {
        state.missing(at);
        going.add(state);
        report.accept(changed(state.upstream(), "missing"));
      }
    }
    return ended.build();
  }

  /** Those of some names that have gone from the list without a notice. */
  List<UpstreamState> missing(Set<UpstreamName> names) {
    return names.stream()
        .map(all::get)
        .filter(s -> s != null && s.isMissing() && !s.isLeaving())
        .toList();
  }

  private void listed(UpstreamState state, RelayUpstream now) {
    if (!now.service().equals(state.upstream().service())) {
      byService.get(state.upstream().service()).remove(now.id());
      ofService(now.service()).put(now.id(), state);
    }
    state.update(now);
    if (state.isGoing()) {
      going.add(state);
    } else {
      going.remove(state);
    }
  }

  private Map<UpstreamName, UpstreamState> ofService(ServiceName service) {
    return byService.computeIfAbsent(service, s -> new LinkedHashMap<>());
  }

  /** A life is over; a later one of its upstream takes its place in all orders. */
  private void over(UpstreamState state) {
    going.remove(state);
    loadsChanged |= loaded.remove(state);
    lapsed.remove(state);
  }

  /** Begins to know a life, of which other nodes may have told already. */
  private void begin(RelayUpstream u) {
    UpstreamState state = new UpstreamState(u, this);
    heard.values().forEach(h -> state.addRemote(h.loads().getOrDefault(u.life(), 0L)));
    all.put(u.id(), state);
    ofService(u.service()).put(u.id(), state);
    if (state.isGoing()) {
      going.add(state);
    }
  }

  /** Those that leave or are gone from the list, and are not evacuated yet. */
  List<UpstreamState> beginEvacuations() {
    return going.stream()
        .filter(s -> s.inFlight() > 0)
        .filter(UpstreamState::beginEvacuation)
        .toList();
  }

  /** Forgets upstreams that are gone for good and serve nothing any more. */
  void forget(long at, Consumer<RelayFact> report) {
    for (UpstreamState state : ImmutableList.copyOf(going)) {
      if (state.isMissingFor(at, missingNanos) && state.inFlight() == 0) {
        over(state);
        all.remove(state.upstream().id());
        byService.get(state.upstream().service()).remove(state.upstream().id());
        report.accept(changed(state.upstream(), "gone"));
      }
    }
  }

  private static RelayFact changed(RelayUpstream u, String change) {
    return new RelayFact.UpstreamChanged(u.life(), u.service().value(), u.address(), change);
  }

  /** Of how many other nodes the load is known. */
  int nodesHeard() {
    return heard.size();
  }

  /** The most room at one upstream that may run calls of a service. */
  long mostFree(ServiceName service, Need need) {
    return of(service).stream()
        .filter(s -> s.upstream().stage().runs())
        .filter(s -> !s.isLeaving() && !s.isMissing())
        .mapToLong(s -> Math.round(need.full() * need.memory()) - s.wholeLoad())
        .max()
        .orElse(0);
  }

  private Collection<UpstreamState> of(ServiceName service) {
    return byService.getOrDefault(service, Map.of()).values();
  }

  /** How many upstreams are known. */
  int size() {
    return all.size();
  }

  /** An upstream, if the life is the one that is known now. */
  Optional<UpstreamState> find(UpstreamLife life) {
    return Optional.ofNullable(current(life));
  }

  /** As {@link #find}; null if the life is not the one that is known now. */
  private UpstreamState current(UpstreamLife life) {
    UpstreamState state = all.get(life.name());
    return state != null && state.isOf(life.start()) ? state : null;
  }

  /** Whether an upstream is known to have started again since a life of it. */
  boolean hasStartedAgain(UpstreamLife life) {
    UpstreamState now = all.get(life.name());
    return now != null && !now.life().equals(life);
  }

  /** Takes over what another node has in flight. */
  void heard(long at, HostName node, ImmutableMap<UpstreamLife, Long> loads) {
    count(heard.put(node, new Heard(at, loads)), -1);
    count(heard.get(node), 1);
  }

  /** Drops what nodes told that have been silent for too long. */
  void forgetSilent(long at) {
    for (Iterator<Heard> i = heard.values().iterator(); i.hasNext(); ) {
      Heard h = i.next();
      if (at - h.at() > SILENCE_NANOS) {
        i.remove();
        count(h, -1);
      }
    }
  }

  private void count(Heard told, int sign) {
    if (told == null) {
      return;
    }
    told.loads()
        .forEach(
            (life, units) -> {
              UpstreamState state = current(life);
              if (state != null) {
                state.addRemote(sign * units);
              }
            });
  }

  /** What this node has in flight, where it is anything. */
  ImmutableMap<UpstreamLife, Long> loads() {
    if (!loadsChanged) {
      return loads;
    }
    ImmutableMap.Builder<UpstreamLife, Long> now = ImmutableMap.builder();
    loaded.forEach(s -> now.put(s.life(), s.load()));
    loads = now.buildOrThrow();
    loadsChanged = false;
    return loads;
  }

  @Override
  public void loadChanged(UpstreamState s) {
    if (current(s.life()) != s) {
      return;
    }
    loadsChanged = true;
    if (s.load() > 0) {
      loaded.add(s);
    } else {
      loaded.remove(s);
    }
  }

  @Override
  public boolean hasPermit(long at, UpstreamState s) {
    return rates.hasPermit(at, s);
  }

  @Override
  public void sent(UpstreamState s) {
    rates.spend(s);
  }

  /** The limits that upstreams name. */
  UpstreamRates rates() {
    return rates;
  }

  /** Notes that a prompt of an upstream was lost at once, as this node has found itself. */
  void handleLapsed(UpstreamState state, long at) {
    state.handleLapsed(at);
    lapsed.add(state);
  }

  /** Those whose handles this node itself has found to lapse. */
  ImmutableSet<UpstreamLife> lapsing(long at) {
    if (lapsed.isEmpty()) {
      return ImmutableSet.of();
    }
    lapsed.removeIf(s -> !s.lapsesFirstHand(at));
    return lapsed.stream().map(UpstreamState::life).collect(ImmutableSet.toImmutableSet());
  }

  /** Learns how long a unit of work took. */
  void took(UpstreamState state, long at, double nanosPerUnit) {
    state.took(at, nanosPerUnit);
    Kind kind = kind(state);
    double before = usual.getOrDefault(kind, nanosPerUnit);
    usual.put(kind, before + LEARN_USUAL * (nanosPerUnit - before));
    double quick = quickest.getOrDefault(kind, nanosPerUnit);
    quickest.put(kind, Math.min(FORGET_QUICKEST * quick, nanosPerUnit));
  }

  /**
   * How long an upstream takes to read a prompt behind those that it has, if it is sound; 0 while
   * nothing is known.
   */
  double readNanos(UpstreamState state, long prompt) {
    return quickest.getOrDefault(kind(state), 0.0) * (state.wholeLoad() + prompt) / 1_000;
  }

  /** The estimate of one unit of work at an upstream. */
  double unit(UpstreamState state, long at) {
    return state.unit(at, usual.getOrDefault(kind(state), FIRST_UNIT_NANOS));
  }

  private static Kind kind(UpstreamState state) {
    return new Kind(state.upstream().service(), state.upstream().stage());
  }

  /**
   * The cheapest upstream of a service.
   *
   * <p>Sound ones go first; then those that are avoided; then those that have gone missing. Memory
   * is not sought at the last two while there is a sound one, if a full one: what is set aside at
   * an upstream that does not answer is of no use.
   *
   * @param at now
   * @param service the service
   * @param stage which stages fit
   * @param without those that are out of the question
   * @param near the data centre from which to count
   * @param need what is asked of it
   */
  Optional<Choice> choose(
      long at,
      ServiceName service,
      Predicate<Stage> stage,
      Set<UpstreamLife> without,
      DataCentreName near,
      Need need) {
    List<UpstreamState> fitting = new ArrayList<>();
    boolean soundExists = false;
    for (UpstreamState s : of(service)) {
      RelayUpstream u = s.upstream();
      if (stage.test(u.stage())
          && s.takesWork(at)
          && !without.contains(u.life())
          && !s.isMissingFor(at, missingNanos)) {
        soundExists |= isSound(s, at);
        if (s.inFlight() < need.mostEach() && need.fits(s, at)) {
          fitting.add(s);
        }
      }
    }
    Optional<Choice> sound = best(at, fitting, s -> isSound(s, at), near, need);
    if (sound.isPresent() || (need.memory() > 0 && soundExists)) {
      return sound;
    }
    return best(at, fitting, s -> !s.isMissing(), near, need)
        .or(() -> best(at, fitting, s -> true, near, need));
  }

  /** Whether there is an upstream, if a full one, that may run calls of a service. */
  boolean has(long at, ServiceName service, Set<UpstreamLife> without) {
    return of(service).stream()
        .anyMatch(
            s ->
                s.upstream().stage().runs()
                    && !s.isLeaving()
                    && !without.contains(s.life())
                    && !s.isMissingFor(at, missingNanos));
  }

  /**
   * Those that may run calls of a service and that this node would not choose now. If it would
   * choose none, only those that take no work by their own word.
   */
  ImmutableSet<UpstreamLife> unfit(long at, ServiceName service) {
    ImmutableSet.Builder<UpstreamLife> closed = ImmutableSet.builder();
    ImmutableSet.Builder<UpstreamLife> unfit = ImmutableSet.builder();
    boolean someFit = false;
    for (UpstreamState s : of(service)) {
      if (!s.upstream().stage().runs()) {
        continue;
      }
      if (!s.takesWork(at)) {
        closed.add(s.life());
      } else if (isSound(s, at) && !s.isBusy(at)) {
        someFit = true;
      } else {
        unfit.add(s.life());
      }
    }
    return (someFit ? closed.addAll(unfit.build()) : closed).build();
  }

  /**
   * When the first of those that may run calls of a service takes requests again, by what they have
   * said: after its rest, or once this node has a permit. Empty if one takes work now, or if none
   * is left.
   */
  OptionalLong takesWorkAt(long at, ServiceName service, Set<UpstreamLife> without) {
    List<UpstreamState> left =
        of(service).stream()
            .filter(s -> s.upstream().stage().runs() && !s.isLeaving() && !s.isMissing())
            .filter(s -> !without.contains(s.life()))
            .toList();
    return left.stream().noneMatch(s -> s.takesWork(at))
        ? left.stream().mapToLong(s -> takesWorkAt(at, s)).min()
        : OptionalLong.empty();
  }

  private long takesWorkAt(long at, UpstreamState s) {
    return s.isResting(at) ? s.restUntil() : rates.permitAt(at, s).orElse(at);
  }

  /** An upstream has said in an answer that it leaves; says whether that is new. */
  boolean saysLeaving(UpstreamState state, Consumer<RelayFact> report) {
    boolean isNew = state.saysLeaving();
    if (isNew) {
      going.add(state);
      report.accept(changed(state.upstream(), "says_leaving"));
    }
    return isNew;
  }

  /**
   * The first sound upstream in the order of a prompt that runs calls; empty if it is one's own.
   */
  Optional<RelayUpstream> first(long at, ServiceName service, PromptKey prompt, UpstreamState own) {
    return of(service).stream()
        .filter(s -> s.upstream().stage().runs())
        .filter(s -> isSound(s, at))
        .min(Comparator.comparingDouble(s -> prompt.rank(s.upstream().id())))
        .filter(s -> s != own)
        .map(UpstreamState::upstream);
  }

  static boolean isSound(UpstreamState s, long at) {
    return !s.isMissing() && !s.isAvoided(at);
  }

  private Optional<Choice> best(
      long at,
      List<UpstreamState> fitting,
      Predicate<UpstreamState> also,
      DataCentreName near,
      Need need) {
    UpstreamState best = null;
    UpstreamState second = null;
    double cost = Double.MAX_VALUE;
    double secondCost = Double.MAX_VALUE;
    int candidates = 0;
    for (UpstreamState s : fitting) {
      if (!also.test(s)) {
        continue;
      }
      candidates++;
      double c = cost(s, at, near, need);
      if (c < cost) {
        second = best;
        secondCost = cost;
        best = s;
        cost = c;
      } else if (c < secondCost) {
        second = s;
        secondCost = c;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    String runnerUp = second == null ? "" : second.upstream().id().value();
    return Optional.of(
        new Choice(best, cost, runnerUp, second == null ? 0 : secondCost, candidates));
  }

  /** Permits are left to calls that have no other upstream. */
  private static double limited(UpstreamState s, long at) {
    if (s.rate().limit().isEmpty()) {
      return 1;
    }
    return s.rate().isOld(at) ? LIMITED_LONG_AGO : LIMITED;
  }

  private double cost(UpstreamState s, long at, DataCentreName near, Need need) {
    double far = s.upstream().place().equals(near) ? 1 : FAR;
    double jitter = 1 + (need.memory() > 0 ? SPREAD : spread) * random.nextDouble();
    return unit(s, at) * need.queue(s) * s.caution(at) * far * limited(s, at) * jitter;
  }
}
