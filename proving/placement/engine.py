"""A model of a replica: a batch engine with slots, chunked prefill and a KV cache.

A step decodes one token of each running request and processes up to `chunk_tokens` of the pending
prompts, in order of arrival. The cache holds parts of prompts and evicts the least recently used.
A cached part saves work only if all parts before it in the prompt are cached too.
"""

from collections import OrderedDict, deque

MAX_MERGED_STEPS = 8
"""Limit on the steps simulated as one event while no prompt is pending."""
EVENT_TOKENS = 29
"""Output tokens in one event of a stream."""
MAX_WAITING_PER_SLOT = 3
"""A replica rejects requests while this many requests per slot are waiting."""


class EngineRequest:
    """A request at an engine.

    Parameters
    ----------
    parts
        (name, token count) of the parts of the prompt that other requests may share.
    on_first_token
        Called with the time of the first token.
    on_end
        Called with the time of the end, and whether the request was completed.
    """

    __slots__ = (
        "parts",
        "prompt_tokens",
        "output_tokens",
        "on_first_token",
        "on_end",
        "remaining_tokens",
        "position",
        "is_cancelled",
        "last_event_at",
        "longest_gap_seconds",
    )

    def __init__(self, parts, prompt_tokens, output_tokens, on_first_token, on_end):
        self.parts = parts
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.remaining_tokens = prompt_tokens
        self.position = 0
        self.is_cancelled = False
        self.last_event_at = self.longest_gap_seconds = 0.0


class Engine:
    """One replica; `run` is its simpy process.

    `step_time_factor` multiplies the duration of each step, as does `slow_factor` during a fault.
    For parts that were processed before, `hit_tokens` counts the tokens used from the cache and
    `reread_tokens` those processed again.
    """

    def __init__(self, env, shape, step_time_factor, name):
        self.env, self.shape, self.step_time_factor, self.name = env, shape, step_time_factor, name
        self.waiting = deque()
        self.prefilling = deque()
        self.running = []
        self.cache = OrderedDict()
        self.cached_tokens = 0
        self.arrival = env.event()
        self.seen_parts = set()
        self.slow_factor = 1.0
        self.is_down = False
        self.rejected_count = 0
        self.processed_tokens = self.reread_tokens = self.hit_tokens = 0

    def submit(self, request):
        """Queue a request; return False if the queue is full or the replica is down."""
        if self.is_down or len(self.waiting) >= self.shape.slots * MAX_WAITING_PER_SLOT:
            self.rejected_count += 1
            return False
        self.waiting.append(request)
        if not self.arrival.triggered:
            self.arrival.succeed()
        return True

    def crash(self):
        """Go down: fail all requests and clear the cache."""
        self.is_down = True
        lost_requests = [*self.waiting, *self.prefilling, *self.running]
        self.waiting, self.prefilling, self.running = deque(), deque(), []
        self.cache, self.cached_tokens = OrderedDict(), 0
        for request in lost_requests:
            request.on_end(self.env.now, False)

    def run(self):
        """Run steps while there are requests, and wait for arrivals otherwise."""
        while True:
            self._admit()
            if not self.running and not self.prefilling:
                self.arrival = self.env.event()
                yield self.arrival
                continue
            yield self.env.timeout(self._run_step())

    def _admit(self):
        while self.waiting and len(self.running) + len(self.prefilling) < self.shape.slots:
            request = self.waiting.popleft()
            request.remaining_tokens = self._uncached_tokens(request)
            self.prefilling.append(request)

    def _uncached_tokens(self, request):
        cached, is_prefix = 0, True
        for name, token_count in request.parts:
            if is_prefix and name in self.cache:
                cached += token_count
                self.hit_tokens += token_count
            else:
                is_prefix = False
                self.reread_tokens += token_count if name in self.seen_parts else 0
        return max(1, request.prompt_tokens - cached)

    def _cache_parts(self, request):
        own_token_count = request.prompt_tokens - sum(count for _, count in request.parts)
        cached_parts = [*request.parts, (id(request), own_token_count + request.output_tokens)]
        for name, token_count in cached_parts:
            self.cached_tokens += token_count - self.cache.pop(name, 0)
            self.cache[name] = token_count
            self.seen_parts.add(name)
        while self.cached_tokens > self.shape.kv_tokens and self.cache:
            self.cached_tokens -= self.cache.popitem(last=False)[1]

    def _run_step(self):
        """Run one step, or several if no prompt is pending; return the seconds it takes."""
        steps = 1 if self.prefilling or self.waiting else self._mergeable_steps()
        seconds = self.shape.step_seconds * steps
        seconds += self._process_prompts()
        seconds *= self.step_time_factor * self.slow_factor
        self._decode(steps, self.env.now + seconds)
        return seconds

    def _mergeable_steps(self):
        remaining_steps = min(request.output_tokens - request.position for request in self.running)
        return max(1, min(MAX_MERGED_STEPS, remaining_steps))

    def _process_prompts(self):
        budget, seconds = self.shape.chunk_tokens, 0.0
        while self.prefilling and budget > 0:
            request = self.prefilling[0]
            count = min(budget, request.remaining_tokens)
            processed_count = request.prompt_tokens - request.remaining_tokens
            pairs = count * (processed_count + count / 2) / 1e6
            seconds += count / self.shape.prompt_tokens_per_second
            seconds += pairs * self.shape.quadratic_seconds_per_million
            request.remaining_tokens -= count
            budget -= count
            self.processed_tokens += count
            if request.remaining_tokens <= 0:
                self.prefilling.popleft()
                self._start_decoding(request)
        return seconds

    def _start_decoding(self, request):
        self._cache_parts(request)
        if request.is_cancelled:
            return
        self.running.append(request)
        request.last_event_at = self.env.now
        request.on_first_token(self.env.now)

    def _decode(self, steps, ends_at):
        ended = []
        for request in self.running:
            events = request.position // EVENT_TOKENS
            request.position += steps
            if request.position // EVENT_TOKENS > events:
                request.longest_gap_seconds = max(
                    request.longest_gap_seconds, ends_at - request.last_event_at
                )
                request.last_event_at = ends_at
            if request.position >= request.output_tokens or request.is_cancelled:
                ended.append(request)
        if ended:
            self.running = [request for request in self.running if request not in ended]
            for request in ended:
                request.on_end(self.env.now, True)
