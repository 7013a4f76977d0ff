//===- CallerApi.cpp - parses requests, builds responses ------------------===//
//
// The JSON body names a model; the path names a plain service.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/CallerApi.h"

#include "ospreyspur/Support/Digest.h"

#include <boost/container_hash/hash.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

using namespace ospreyspur;
namespace http = boost::beast::http;
namespace json = boost::json;

static constexpr std::string_view BearerPrefix = "Bearer ";
static constexpr std::string_view ServicesPrefix = "/services/";
static constexpr std::size_t PrefixBlockBytes = 256;
static constexpr std::size_t MaxIdempotencyKey = 256;
/// Most parts of a prompt that are digested; callers may send any number.
static constexpr std::size_t MaxPromptParts = 16;
static constexpr std::uint64_t MaxDeadlineMs = 3600000; // an hour

static std::string_view headerOf(const HttpRequest &request, const char *name) {
  auto it = request.find(name);
  if (it == request.end())
    return {};
  return {it->value().data(), it->value().size()};
}

static const WorkspaceView *findWorkspace(const HttpRequest &request,
                                          const RoutingSnapshot &snapshot) {
  std::string_view value = headerOf(request, "Authorization");
  if (!value.starts_with(BearerPrefix))
    return nullptr;
  auto hash = sha256Hex(value.substr(BearerPrefix.size()));
  auto it = snapshot.WorkspacesByKeyHash.find(hash);
  return it == snapshot.WorkspacesByKeyHash.end() ? nullptr : &it->second;
}

static std::uint64_t hashPrefix(const json::object &body) {
  const json::value *prompt = body.if_contains("prompt");
  if (!prompt)
    prompt = body.if_contains("messages");
  if (!prompt)
    return 0;
  std::string text = json::serialize(*prompt);
  text.resize(std::min(text.size(), PrefixBlockBytes));
  return std::max<std::uint64_t>(1, boost::hash<std::string>()(text));
}

/// Returns digests of the parts of the prompt that other requests may share:
/// all messages but the last, or the first block of a longer prompt.
static std::vector<std::string> readPromptParts(const json::object &body) {
  std::vector<std::string> out;
  const json::value *messages = body.if_contains("messages");
  if (const json::array *list = messages ? messages->if_array() : nullptr) {
    std::size_t shared = list->empty() ? 0 : list->size() - 1;
    for (std::size_t i = 0; i < std::min(shared, MaxPromptParts); ++i)
      out.push_back(sha256Hex(json::serialize((*list)[i])));
    return out;
  }
  const json::value *prompt = body.if_contains("prompt");
  const json::string *text = prompt ? prompt->if_string() : nullptr;
  if (text && text->size() > PrefixBlockBytes)
    out.push_back(sha256Hex({text->data(), PrefixBlockBytes}));
  return out;
}

/// Reads the service name from the JSON body.
static Result<void> readModelBody(const HttpRequest &request,
                                  CallerRequest &out) {
  boost::system::error_code ec;
  json::value body = json::parse(request.body(), ec);
  const json::object *top = ec ? nullptr : body.if_object();
  if (!top)
    return Error{ResultCode::BadRequest, "the body is not a JSON object"};
  const json::value *model = top->if_contains("model");
  if (!model || !model->is_string())
    return Error{ResultCode::BadRequest, "the body has no \"model\" string"};
  out.Service = ServiceId(std::string(model->get_string()));
  out.Prefix = hashPrefix(*top);
  out.PromptParts = readPromptParts(*top);
  return boost::outcome_v2::success();
}

/// Reads the service name from the path and removes it from the target.
static Result<void> readServicePath(CallerRequest &out) {
  std::string rest = out.Target.substr(ServicesPrefix.size());
  std::size_t end = rest.find_first_of("/?");
  std::string name = rest.substr(0, end);
  if (name.empty())
    return Error{ResultCode::BadRequest, "the path has no service name"};
  out.Service = ServiceId(name);
  out.Target = end == std::string::npos ? "/" : rest.substr(end);
  if (out.Target.front() == '?')
    out.Target.insert(out.Target.begin(), '/');
  return boost::outcome_v2::success();
}

static Result<void> readHeaders(const HttpRequest &request,
                                Duration defaultDeadline, CallerRequest &out) {
  out.Deadline = defaultDeadline;
  std::string_view deadline = headerOf(request, DeadlineHeader);
  if (!deadline.empty()) {
    std::uint64_t n = 0;
    const char *last = deadline.data() + deadline.size();
    auto [end, ec] = std::from_chars(deadline.data(), last, n);
    if (ec != std::errc() || end != last || n == 0 || n > MaxDeadlineMs)
      return Error{ResultCode::BadRequest, "the deadline is out of range"};
    out.Deadline = std::chrono::milliseconds(n);
  }
  std::string_view key = headerOf(request, IdempotencyHeader);
  if (key.size() > MaxIdempotencyKey)
    return Error{ResultCode::BadRequest, "the idempotency key is too long"};
  if (!key.empty())
    out.IdempotencyKey = std::string(key);
  std::string_view ticket = headerOf(request, TicketHeader);
  if (ticket.empty())
    return boost::outcome_v2::success();
  if (out.IdempotencyKey)
    return Error{ResultCode::BadRequest,
                 "a ticket and an idempotency key cannot be combined"};
  Result<Ticket> parsed = parseTicket(ticket);
  if (!parsed)
    return parsed.error();
  if (parsed.value().Workspace != out.Workspace)
    return Error{ResultCode::BadTicket,
                 "the ticket belongs to another workspace"};
  out.CallerTicket = parsed.value();
  return boost::outcome_v2::success();
}

Result<CallerRequest>
ospreyspur::parseCallerRequest(const HttpRequest &request,
                               const RoutingSnapshot &snapshot,
                               Duration defaultDeadline) {
  const WorkspaceView *workspace = findWorkspace(request, snapshot);
  if (!workspace)
    return Error{ResultCode::Unauthorized, "the bearer key is unknown"};
  CallerRequest out;
  out.Workspace = workspace->Id;
  out.Priority = workspace->Priority;
  out.Method = std::string(request.method_string());
  out.Target = std::string(request.target());
  out.ContentType = std::string(headerOf(request, "Content-Type"));
  out.Body = request.body();

  bool isPost = request.method() == http::verb::post;
  bool isCompletion =
      out.Target == "/v1/completions" || out.Target == "/v1/chat/completions";
  out.WantsTicket = out.Target == "/v1/tickets";
  Result<void> readResult = boost::outcome_v2::success();
  if (isPost && (isCompletion || out.WantsTicket))
    readResult = readModelBody(request, out);
  else if (out.Target.starts_with(ServicesPrefix))
    readResult = readServicePath(out);
  else
    return Error{ResultCode::NotFound, "no such path"};
  if (readResult)
    readResult = readHeaders(request, defaultDeadline, out);
  if (!readResult)
    return readResult.error();

  auto service = snapshot.Services.find(out.Service);
  if (service == snapshot.Services.end())
    return Error{ResultCode::UnknownService, "no such model or service"};
  bool isSafe = request.method() == http::verb::get ||
                request.method() == http::verb::head;
  out.IsRetryable = service->second.IsRetryable || isSafe;
  return out;
}

std::string ospreyspur::formatErrorBody(ResultCode code) {
  const ResultInfo &info = describe(code);
  json::object error{{"code", static_cast<unsigned>(code)},
                     {"name", info.Name},
                     {"outcome", toString(info.Kind)},
                     {"message", info.Message}};
  return json::serialize(json::object{{"error", error}});
}

HttpResponse ospreyspur::makeErrorResponse(ResultCode code,
                                           Duration retryAfter) {
  const ResultInfo &info = describe(code);
  HttpResponse response;
  response.result(info.HttpStatus);
  response.set(http::field::content_type, "application/json");
  std::string_view outcome = toString(info.Kind);
  response.set(OutcomeHeader, {outcome.data(), outcome.size()});
  if (info.Kind == Outcome::NotRun || code == ResultCode::ClaimUnchecked) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    response.set(http::field::retry_after,
                 std::to_string(std::max<std::int64_t>(1, seconds)));
  }
  response.body() = formatErrorBody(code) + "\n";
  return response;
}

HttpResponse ospreyspur::makeTicketResponse(const Ticket &ticket) {
  HttpResponse response;
  response.result(http::status::ok);
  response.set(http::field::content_type, "application/json");
  response.body() =
      json::serialize(json::object{{"ticket", formatTicket(ticket)}}) + "\n";
  return response;
}
