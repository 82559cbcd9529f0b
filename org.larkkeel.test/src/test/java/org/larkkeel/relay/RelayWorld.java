/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaCoordinator;
import org.larkkeel.quota.QuotaTolerance;

/**
 * Test fixture: a router with a simulated clock, which records the effects. Each test uses its own
 * instance.
 */
final class RelayWorld {
  static final long MILLI = 1_000_000L;
  static final ServiceName APP = new ServiceName("app");
  static final ServiceName MODEL = new ServiceName("model");
  static final ServiceName OTHER = new ServiceName("other");
  static final DataCentreName HERE = new DataCentreName("dc-1");
  static final long MEMORY = 20_000;
  static final int EVENT_TOKENS = 10;

  final List<RelayEffect> effects = new ArrayList<>();
  final RelayRouter router;
  private final Map<UpstreamName, RelayUpstream> upstreams = new LinkedHashMap<>();
  private ImmutableSet<UpstreamName> listed = ImmutableSet.of();
  private long now = 1_000_000 * MILLI;
  private long lastCall;
  private boolean storeAnswers = true;
  private BuildHistory history = BuildHistory.NONE;
  private ImmutableList<StreamBuild> storedStreams = ImmutableList.of();
  private final QuotaCoordinator quotaCoordinator = new QuotaCoordinator(QuotaTolerance.NONE);

  private static final double DEFAULT_SLACK = 34;

  RelayWorld() {
    this(DEFAULT_SLACK);
  }

  RelayWorld(double slack) {
    router =
        new RelayRouter(
            new RelaySettings(
                HERE, 0.2, slack, 10_000 * MILLI, 1, 512, 1_500 * MILLI, 7, QuotaTolerance.NONE));
    // The node has run for a window, so that it may use its part of the slack.
    apply(new RelayEvent.Ticked(now - 10_000 * MILLI));
  }

  /**
   * Returns a fixture with the default rules, two app upstreams, one prefill and two decode
   * upstreams.
   */
  static RelayWorld withDefaults() {
    return withDefaults(DEFAULT_SLACK);
  }

  /** Returns the same fixture with another slack of the retry budget. */
  static RelayWorld withDefaults(double slack) {
    RelayWorld w = new RelayWorld(slack);
    w.configure(1, rules());
    w.add("app-1", APP, Stage.WHOLE);
    w.add("app-2", APP, Stage.WHOLE);
    w.add("read-1", MODEL, Stage.PREFILL);
    w.add("run-1", MODEL, Stage.DECODE);
    w.add("run-2", MODEL, Stage.DECODE);
    w.applyDiscoveryList();
    return w;
  }

  static ImmutableList<RelayRule> rules() {
    return ImmutableList.of(
        rule("safe", "/safe/", APP, CallKind.IDEMPOTENT, 2),
        rule("once", "/once/", APP, CallKind.ONCE, 2),
        rule("stream", "/stream/", MODEL, CallKind.STREAM, 1),
        rule("resume", "/resume/", MODEL, CallKind.RESUMABLE_STREAM, 2),
        rule("other", "/other/", OTHER, CallKind.STREAM, 1));
  }

  static RelayRule rule(String name, String prefix, ServiceName service, CallKind kind, int runs) {
    return new RelayRule(
        new RuleName(name),
        "a.example",
        prefix,
        ImmutableList.of(new RelayRule.Share(service, 1)),
        kind,
        kind.isStream() ? 14_000 : 1_500,
        runs,
        kind.isStream() ? 900 : 300,
        kind.isStream() ? 300 : 0,
        1,
        false);
  }

  void configure(long revision, ImmutableList<RelayRule> rules) {
    configure(revision, rules, Workspaces.OPEN);
  }

  void configure(long revision, ImmutableList<RelayRule> rules, Workspaces workspaces) {
    apply(
        new RelayEvent.ConfigurationRead(
            now,
            new RelayConfiguration(
                revision,
                rules,
                ImmutableMap.of(
                    APP,
                    new ServiceBounds(100, 0, 0, false),
                    MODEL,
                    new ServiceBounds(100, MEMORY, EVENT_TOKENS, true),
                    OTHER,
                    new ServiceBounds(100, MEMORY, EVENT_TOKENS, true)),
                1 << 20,
                workspaces)));
  }

  /** Returns the incarnation of an upstream that was added and has not restarted. */
  static UpstreamIncarnation incarnation(String id) {
    return UpstreamIncarnation.unknown(new UpstreamName(id));
  }

  /** Returns the incarnation of an upstream that {@link #restart} has started. */
  static UpstreamIncarnation incarnation(String id, long start) {
    return new UpstreamIncarnation(new UpstreamName(id), new Incarnation(start));
  }

  void add(String id, ServiceName service, Stage stage) {
    upstreams.put(
        new UpstreamName(id),
        new RelayUpstream(incarnation(id), service, "10.0.0.1:80", HERE, 6, stage, false));
  }

  /** Adds an upstream that names its build. */
  void add(String id, ServiceName service, Stage stage, BuildName build) {
    upstreams.put(
        new UpstreamName(id),
        new RelayUpstream(incarnation(id), service, "10.0.0.1:80", HERE, 6, stage, build, false));
  }

  void leave(String id) {
    upstreams.computeIfPresent(
        new UpstreamName(id),
        (name, u) ->
            new RelayUpstream(
                u.incarnation(),
                u.service(),
                u.address(),
                u.dataCentre(),
                u.slots(),
                u.stage(),
                u.build(),
                true));
    applyDiscoveryList();
  }

  /** Restarts an upstream under its name and applies the new discovery list. */
  void restart(String id, long start) {
    restart(id, start, upstreams.get(new UpstreamName(id)).build());
    applyDiscoveryList();
  }

  /** Restarts an upstream under its name as a build, without applying the new discovery list. */
  void restart(String id, long start, BuildName build) {
    upstreams.computeIfPresent(
        new UpstreamName(id),
        (name, u) ->
            new RelayUpstream(
                incarnation(id, start),
                u.service(),
                u.address(),
                u.dataCentre(),
                u.slots(),
                u.stage(),
                build,
                u.leaving()));
  }

  void remove(String... ids) {
    for (String id : ids) {
      upstreams.remove(new UpstreamName(id));
    }
    applyDiscoveryList();
  }

  void applyDiscoveryList() {
    applyDiscoveryList(OptionalLong.empty());
  }

  /** Applies the discovery list at a time of day, to which the starts of upstreams refer. */
  void applyDiscoveryList(long unixMillis) {
    applyDiscoveryList(OptionalLong.of(unixMillis));
  }

  private void applyDiscoveryList(OptionalLong unixMillis) {
    ImmutableSet<UpstreamName> removed =
        Sets.difference(listed, upstreams.keySet()).immutableCopy();
    listed = ImmutableSet.copyOf(upstreams.keySet());
    apply(
        new RelayEvent.UpstreamsChanged(
            now, unixMillis, false, ImmutableMap.copyOf(upstreams), removed));
  }

  long now() {
    return now;
  }

  /** Receives an answer that announces a rate limit, to a request that was sent now. */
  void receiveRateLimit(String upstream, double perSecond) {
    RateLimitNotice rate = new RateLimitNotice.Limited(RequestRate.perSecond(perSecond));
    apply(
        new RelayEvent.Noticed(
            now, incarnation(upstream), now, new UpstreamNotice(false, 0, rate)));
  }

  /** Answers the node's quota request, if one is due, as this node is the quota coordinator. */
  void answerQuotaRequest() {
    router
        .quotaRequest(now, true)
        .ifPresent(
            ask ->
                apply(
                    new RelayEvent.QuotaGranted(
                        now,
                        quotaCoordinator.grant(
                            now, new HostName("node-1"), ask, 1, router::quotaLimit))));
  }

  /** Advances the time tick by tick. */
  void passCoordinated(long millis) {
    for (long i = 0; i < millis; i += 5) {
      pass(5);
      answerQuotaRequest();
    }
  }

  /** Sets whether the store answers requests to read the discovery list again; it does at first. */
  void setStoreAnswers(boolean answers) {
    storeAnswers = answers;
  }

  /** Sets what the store tells of the builds that have served; nothing at first. */
  void setHistory(BuildHistory stored, StreamBuild... streams) {
    history = stored;
    storedStreams = ImmutableList.copyOf(streams);
  }

  void apply(RelayEvent event) {
    final int before = effects.size();
    router.apply(event, effects::add);
    if (storeAnswers) {
      List.copyOf(effects.subList(before, effects.size())).forEach(this::answer);
    }
  }

  /** Answers what is asked of the store. */
  private void answer(RelayEffect effect) {
    switch (effect) {
      case RelayEffect.ConfirmUpstreams c ->
          apply(new RelayEvent.UpstreamsConfirmed(now, c.number()));
      case RelayEffect.RecordBuilds r ->
          apply(new RelayEvent.BuildsRecorded(now, r.service(), r.builds()));
      case RelayEffect.ReadBuildHistory r ->
          apply(
              new RelayEvent.BuildHistoryRead(
                  now, r.number(), Optional.of(history), storedStreams));
      default -> {}
    }
  }

  /** Lets time pass, tick by tick. */
  void pass(long millis) {
    for (long i = 0; i < millis; i += 5) {
      now += 5 * MILLI;
      apply(new RelayEvent.Ticked(now));
    }
  }

  /** Suspends the machine for some time, which the clock includes. */
  void suspend(long millis) {
    now += millis * MILLI;
    apply(new RelayEvent.Resumed(now, millis * MILLI));
  }

  /** Holds the event loop up for some time. */
  void stall(long millis) {
    now += millis * MILLI;
    apply(new RelayEvent.Stalled(now, millis * MILLI));
  }

  /** Advances the time, of which the node is not told. */
  void standStill(long millis) {
    now += millis * MILLI;
  }

  /** Advances the time in one step. */
  void skip(long millis) {
    now += millis * MILLI;
    apply(new RelayEvent.Ticked(now));
  }

  RequestId arrive(String path) {
    return arrive(path, 0, CallSize.NONE);
  }

  RequestId arrive(String path, long deadlineMillis, CallSize size) {
    return arrive(path, deadlineMillis, size, PromptKey.NONE, false);
  }

  RequestId arrive(
      String path, long deadlineMillis, CallSize size, PromptKey prompt, boolean resumes) {
    return arrive(
        path,
        deadlineMillis,
        size,
        Prompt.of(prompt),
        resumes,
        Optional.empty(),
        nextBody(),
        Optional.empty());
  }

  private RequestId arrive(
      String path,
      long deadlineMillis,
      CallSize size,
      Prompt prompt,
      boolean resumes,
      Optional<StreamId> resumedStream,
      String body,
      Optional<CallerKey> key) {
    RequestId id = new RequestId(++lastCall);
    RequestIdentity identity =
        new RequestIdentity("POST", "a.example", path, "", body.getBytes(StandardCharsets.UTF_8));
    apply(
        new RelayEvent.Arrived(
            now,
            new RelayCall(
                id,
                "call-" + lastCall,
                "a.example",
                path,
                deadlineMillis,
                size,
                prompt,
                resumes,
                resumedStream,
                identity,
                key)));
    return id;
  }

  private String nextBody() {
    return "body of " + (lastCall + 1);
  }

  /** Starts a call that takes up a stream, named by the call that brought its first event. */
  RequestId resume(String path, CallSize size, String stream) {
    return arrive(
        path,
        10_000,
        size,
        Prompt.NONE,
        true,
        Optional.of(new StreamId(stream)),
        stream,
        Optional.empty());
  }

  /** Starts a call that carries a key. */
  RequestId arriveWithKey(String path, CallSize size, String key) {
    return arrive(
        path,
        0,
        size,
        Prompt.NONE,
        false,
        Optional.empty(),
        nextBody(),
        Optional.of(CallerKey.of(key)));
  }

  /** Starts a call with a given body, so that several calls can be the same request. */
  RequestId arriveWithBody(String path, CallSize size, String body) {
    return arriveAs(path, size, body, Prompt.NONE);
  }

  /** Starts a call with a body of its own whose prompt begins with the given parts. */
  RequestId arriveWithPrompt(String path, CallSize size, String... sharedParts) {
    return arriveWithBodyAndPrompt(path, size, nextBody(), sharedParts);
  }

  /** Starts a call with a given body whose prompt begins with the given parts. */
  RequestId arriveWithBodyAndPrompt(
      String path, CallSize size, String body, String... sharedParts) {
    ImmutableList.Builder<PromptPart> parts = ImmutableList.builder();
    Arrays.stream(sharedParts).forEach(p -> parts.add(new PromptPart(p)));
    parts.add(new PromptPart("own part of " + body));
    return arriveAs(path, size, body, new Prompt(parts.build()));
  }

  private RequestId arriveAs(String path, CallSize size, String body, Prompt prompt) {
    return arrive(path, 14_000, size, prompt, false, Optional.empty(), body, Optional.empty());
  }

  /** Returns the purpose of a run that fetches what an upstream still holds of its prompt. */
  RelayEffect.Purpose fetch(String from) {
    return new RelayEffect.Purpose.Fetch(upstreams.get(new UpstreamName(from)));
  }

  /** Returns the last sent attempt; fails if there is none. */
  RelayEffect.Send sent() {
    return of(RelayEffect.Send.class).getLast();
  }

  int sendCount() {
    return of(RelayEffect.Send.class).size();
  }

  <T extends RelayEffect> List<T> of(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  RelayEffect.Refuse refused() {
    return of(RelayEffect.Refuse.class).getLast();
  }

  boolean isRefused() {
    return !of(RelayEffect.Refuse.class).isEmpty();
  }

  ErrorKind refusal() {
    return refused().kind();
  }

  void promptRead() {
    apply(new RelayEvent.PromptRead(now, sent().attempt(), "handle"));
  }

  void began() {
    apply(new RelayEvent.Began(now, sent().attempt()));
  }

  void answered(AnswerGrade grade) {
    apply(new RelayEvent.Answered(now, sent().attempt(), grade));
  }

  void declined() {
    apply(new RelayEvent.Refused(now, sent().attempt(), RefusalCause.DECLINED));
  }

  void notSent() {
    apply(new RelayEvent.Refused(now, sent().attempt(), RefusalCause.NOT_SENT));
  }

  void moved(MoveResult result) {
    RelayEffect.Move last = of(RelayEffect.Move.class).getLast();
    apply(new RelayEvent.Moved(now, last.attempt(), result));
  }

  void lost() {
    apply(new RelayEvent.Lost(now, sent().attempt(), FailureCause.CONNECTION_LOST));
  }
}
